#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_EXPLAIN_REQUEST_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_EXPLAIN_REQUEST_H_

#include <istream>
#include <string>

namespace flamingogauge {

// Finds the structured log lines of one request in the logs of one or several
// hosts, in any order, and tells its life in order of time: one line for each
// decision with the inputs that decided it. Text before a line's JSON object,
// such as the name of its host, is kept. Returns "" if no line names the
// request.
std::string ExplainRequest(std::istream& logs, const std::string& request);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_EXPLAIN_REQUEST_H_
