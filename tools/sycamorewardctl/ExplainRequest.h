#pragma once

// The command "explain-request".

#include <ostream>
#include <string>
#include <vector>

namespace sycamoreward {

// Prints what the log files of several instances say of a request, in the order
// of time, and which instances' state changed shortly before its end. Returns 0
// when the request was found and 1 when no line names it. Throws UserError when
// a file can't be read.
int
ExplainRequest(const std::vector<std::string>& aFiles,
               const std::string& aRequest,
               std::ostream& aOut);

} // namespace sycamoreward
