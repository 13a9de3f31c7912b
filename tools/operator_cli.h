#pragma once

namespace geraniumcart::tools {

/// Exit codes of the operators' command line.
enum ExitCode {
    ExitOk = 0,
    /// The rules are invalid or were edited in the meantime, the file would be overwritten, or no
    /// log line has the id of the request to explain.
    ExitRefused = 1,
    ExitUsage = 2,
    /// The store or the daemon gave no valid answer.
    ExitUnreachable = 3,
    /// It is not known whether the write took effect.
    ExitUnknown = 4,
};

/// Runs one command and prints its result to standard output, errors to standard error.
/// @return an ExitCode
int runOperatorCli(int argc, const char *const *argv);

} // namespace geraniumcart::tools
