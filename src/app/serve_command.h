#ifndef FLAMINGOGAUGE_APP_SERVE_COMMAND_H_
#define FLAMINGOGAUGE_APP_SERVE_COMMAND_H_

namespace flamingogauge {

// Runs an entry host until SIGTERM or SIGINT, after which it drains. A second
// signal ends the process at once. Returns the exit status: 0 after a complete
// drain, 1 when the start or the drain failed, 2 for a wrong setting.
int RunServeCommand();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_SERVE_COMMAND_H_
