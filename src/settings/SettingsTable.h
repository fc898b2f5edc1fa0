#pragma once

// The table that describes every field of a settings file.

#include "configuration/Schema.h"

#include <string>

namespace sycamoreward {

const FieldTable&
SettingsTable();

// The reference page of resources and settings, in Markdown.
std::string
ReferencePage();

} // namespace sycamoreward
