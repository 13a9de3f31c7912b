#include "connection/endpoint_p.h"
#include "fake_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

using namespace geraniumcart;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitCannotListen = 1;

int run(const boost::asio::ip::tcp::endpoint &endpoint)
{
    boost::asio::io_context context(1);
    FakeStore store(context);
    std::string reason;
    if (!store.open(endpoint, reason)) {
        std::cerr << "geraniumcart-fakestore: cannot listen on " << endpoint << ": " << reason
                  << '\n';
        return ExitCannotListen;
    }
    std::cout << "listening " << store.endpoint() << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("geraniumcart-fakestore",
                             "Fake store for tests: serves the platform's objects from memory.");
    options.add_options()("listen", "IP:PORT to listen on; port 0 lets the kernel pick",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
            "help", "print this text");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const std::string listen = parsed["listen"].as<std::string>();
        const auto endpoint = parseEndpoint(listen);
        if (!endpoint || !parsed.unmatched().empty()) {
            std::cerr << "geraniumcart-fakestore: --listen " << listen << ": expected IP:PORT\n";
            return ExitUsage;
        }
        return run(*endpoint);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "geraniumcart-fakestore: " << error.what() << '\n';
        return ExitUsage;
    }
}
