// Compiles the source part of easylogging++ with the project's definitions.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
