#pragma once

// The field table of settings files.

#include "configuration/Schema.h"

#include <string>

namespace sycamoreward {

const FieldTable&
SettingsTable();

// Returns the reference page of resources and settings, in Markdown.
std::string
ReferencePage();

} // namespace sycamoreward
