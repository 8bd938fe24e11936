#ifndef FLAMINGOGAUGE_APP_SERVE_COMMAND_H_
#define FLAMINGOGAUGE_APP_SERVE_COMMAND_H_

#include <string>
#include <vector>

namespace flamingogauge {

// Blocks the signals that RunServeCommand handles. To be called before any
// thread is started, so that a signal that arrives during the start waits until
// the process can handle it.
void BlockServeSignals();

// Runs an entry host until SIGTERM or SIGINT, after which it drains. While it
// drains, SIGINT ends the process at once; SIGTERM and SIGHUP are ignored.
// Returns the exit status: 0 after a complete drain, 1 when the start or the
// drain failed, 2 for an invalid setting. The caller has already set the flags
// from `arguments`; they are read again on SIGHUP and when the settings file
// changes.
int RunServeCommand(const std::vector<std::string>& arguments);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_SERVE_COMMAND_H_
