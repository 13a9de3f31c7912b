#include "connection/endpoint_p.h"
#include "fake_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

using namespace geraniumcart;

namespace {

constexpr int UsageExit = 2;
constexpr int ListenExit = 1;

int run(const boost::asio::ip::tcp::endpoint &endpoint)
{
    boost::asio::io_context context(1);
    FakeStore store(context);
    std::string reason;
    if (!store.open(endpoint, reason)) {
        std::cerr << "geraniumcart-fakestore: cannot listen on " << endpoint << ": " << reason
                  << '\n';
        return ListenExit;
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
                             "Stand-in for the platform's object store, in memory.");
    options.add_options()("listen", "IP:PORT to listen on; port 0 picks a free one",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
            "help", "show this text");
    try {
        const cxxopts::ParseResult given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const std::string listen = given["listen"].as<std::string>();
        const auto endpoint = parseEndpoint(listen);
        if (!endpoint || !given.unmatched().empty()) {
            std::cerr << "geraniumcart-fakestore: --listen " << listen << ": expected IP:PORT\n";
            return UsageExit;
        }
        return run(*endpoint);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "geraniumcart-fakestore: " << error.what() << '\n';
        return UsageExit;
    }
}
