#pragma once

namespace geraniumcart::tools {

/// Exit codes of the operators' command line.
enum ExitCode {
    ExitOk = 0,
    /// Rules were refused, or another edit came between.
    ExitRefused = 1,
    ExitUsage = 2,
    /// The store or the daemon does not answer.
    ExitUnreachable = 3,
    /// Whether the write took effect is not known.
    ExitUnknown = 4,
};

int runOperatorCli(int argc, const char *const *argv);

} // namespace geraniumcart::tools
