#pragma once

#include "caller/RecordingCaller.h" // IWYU pragma: export
