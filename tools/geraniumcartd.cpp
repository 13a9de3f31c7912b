#include "process/log_p.h"

#include <geraniumcart/daemon.h>
#include <geraniumcart/settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace geraniumcart;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitCannotOpen = 1;
constexpr int ExitSignalBase = 128;

/// The first signal starts the graceful stop of the daemon; the second one exits the process at
/// once with 128 plus the signal number.
void awaitSignals(boost::asio::signal_set &signals, Daemon &daemon, bool isStopping)
{
    signals.async_wait(
            [&signals, &daemon, isStopping](const boost::system::error_code &error, int signal) {
                if (error)
                    return;
                if (isStopping)
                    std::_Exit(ExitSignalBase + signal);
                daemon.stop();
                awaitSignals(signals, daemon, true);
            });
}

} // namespace

int main(int argc, char **argv)
{
    SettingsFailure failure;
    const std::optional<Settings> settings = parseSettings(argc, argv, failure);
    if (!settings) {
        const bool isHelp = failure.error == SettingsError::HelpWanted;
        (isHelp ? std::cout : std::cerr) << failure.message << '\n';
        return isHelp ? EXIT_SUCCESS : ExitUsage;
    }
    configureLogging(parseLogLevel(settings->logLevel).value_or(LogLevel::Info));
    const StandardOutputLog log;

    // The signal set must exist before the daemon starts threads, so that no signal can arrive
    // while its default action is in place.
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);

    Daemon daemon(*settings);
    std::string reason;
    if (!daemon.open(reason)) {
        std::cerr << "geraniumcartd: " << reason << '\n';
        return ExitCannotOpen;
    }
    awaitSignals(signals, daemon, false);
    std::thread signalThread([&context] { context.run(); });
    daemon.run();
    context.stop();
    signalThread.join();
    return EXIT_SUCCESS;
}
