#ifndef FLAMINGOGAUGE_LIBS_COMMANDLINE_EXPLAIN_REQUEST_H_
#define FLAMINGOGAUGE_LIBS_COMMANDLINE_EXPLAIN_REQUEST_H_

#include <istream>
#include <string>

namespace flamingogauge {

// Collects the structured log lines of one request from the logs of one or more
// hosts, in any order, and formats them chronologically: one line per event
// with its time offset and fields. Text before the JSON object of a line, such
// as the host name, is kept. Returns "" if no line belongs to the request.
std::string ExplainRequest(std::istream& logs, const std::string& request);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COMMANDLINE_EXPLAIN_REQUEST_H_
