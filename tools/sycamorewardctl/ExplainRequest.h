#pragma once

// The command "explain-request".

#include <ostream>
#include <string>
#include <vector>

namespace sycamoreward {

// Prints the log lines of a request from the files of several instances, in
// order of time, and the state changes of these instances shortly before its
// end. Returns 0 when the request was found and 1 when no line names it. Throws
// UserError when a file can't be read.
int
ExplainRequest(const std::vector<std::string>& aFiles,
               const std::string& aRequest,
               std::ostream& aOut);

} // namespace sycamoreward
