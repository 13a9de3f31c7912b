#include "fake_searcher_main.h"

#include "store_writer.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <cxxopts.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace geraniumcart::tools {

namespace http = boost::beast::http;

namespace {

/// Timeout for writing all objects.
constexpr std::chrono::seconds StoreTimeout{30};

/// Parses `I/N`. @return false if it is malformed or if I is not below N
bool parsePart(const std::string &text, FakeSearcherOptions &options)
{
    char rest = 0;
    return std::sscanf(text.c_str(), "%u/%u%c", &options.part, &options.parts, &rest) == 2 &&
           options.part < options.parts;
}

} // namespace

std::optional<FakeSearcherOptions> parseFakeSearcherOptions(int argc, const char *const *argv,
                                                            std::string &message)
{
    cxxopts::Options parser("geraniumcart-fakesearcher", "Fake searchers for tests.");
    parser.add_options()("config", "JSON file with the configuration of the services",
                         cxxopts::value<std::string>())(
            "control", "IP:PORT of the control port; port 0 lets the kernel pick",
            cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
            "write-store",
            "IP:PORT of the object store to write catalog and hosts to; empty writes none",
            cxxopts::value<std::string>()->default_value(""))(
            "part", "I/N: run only the searchers whose number modulo N is I",
            cxxopts::value<std::string>()->default_value("0/1"))(
            "threads", "number of worker threads; 0 uses the number in the file",
            cxxopts::value<std::uint32_t>()->default_value("0"))("help", "print this text");
    try {
        const auto parsed = parser.parse(argc, argv);
        if (parsed.count("help") != 0) {
            message = parser.help();
            return std::nullopt;
        }
        if (parsed.count("config") == 0) {
            message = "--config is missing: expected the path of a JSON file";
            return std::nullopt;
        }
        FakeSearcherOptions options;
        options.configFile = parsed["config"].as<std::string>();
        options.control = parsed["control"].as<std::string>();
        options.store = parsed["write-store"].as<std::string>();
        options.threads = parsed["threads"].as<std::uint32_t>();
        if (parsePart(parsed["part"].as<std::string>(), options))
            return options;
        message = "--part: expected I/N with I below N, got " + parsed["part"].as<std::string>();
    } catch (const cxxopts::exceptions::exception &error) {
        message = error.what();
    }
    return std::nullopt;
}

namespace {

HttpResponse makeErrorResponse(http::status status, const std::string &reason)
{
    return makeJsonResponse(status, boost::json::serialize(boost::json::object{{"error", reason}}));
}

} // namespace

HttpResponse FakeSearcherControl::handle(const HttpRequest &request)
{
    const std::string target(request.target());
    std::string reason;
    if (request.method() == http::verb::get && target == "/control/bookings")
        return makeJsonResponse(http::status::ok, formatBookings(m_fleet.status()));
    if (request.method() == http::verb::get && target.starts_with("/control")) {
        const bool withSearchers = target.find("searchers=1") != std::string::npos;
        return makeJsonResponse(http::status::ok,
                                formatFleetStatus(m_fleet.status(), withSearchers));
    }
    if (request.method() == http::verb::post && target == "/control/store") {
        if (writeObjects(reason))
            return makeJsonResponse(http::status::ok, "{}");
        return makeErrorResponse(http::status::bad_gateway, reason);
    }
    if (request.method() == http::verb::post && target == "/control") {
        if (const auto command = parseControlCommand(request.body(), reason)) {
            const std::size_t matched = m_fleet.control(*command);
            return makeJsonResponse(http::status::ok,
                                    R"({"matched":)" + std::to_string(matched) + "}");
        }
        return makeErrorResponse(http::status::bad_request, reason);
    }
    return makeJsonResponse(http::status::not_found, R"({"error":"no such route"})");
}

bool FakeSearcherControl::writeObjects(std::string &reason)
{
    if (m_store.empty()) {
        reason = "no object store to write to: started without --write-store IP:PORT";
        return false;
    }
    std::vector<SearcherEntry> searchers;
    for (const SearcherStatus &searcher : m_fleet.status().searchers)
        searchers.push_back(searcher.entry);
    return writeStore(m_store, m_fleet.catalogs(), searchers, StoreTimeout, reason);
}

int runFakeSearcher(const FakeSearcherOptions &options)
{
    const auto fail = [](const std::string &reason) {
        std::cerr << "geraniumcart-fakesearcher: " << reason << '\n';
        return 1;
    };
    std::string reason;
    std::ifstream file(options.configFile);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return fail("cannot read " + options.configFile);
    auto config = parseFleetConfig(text.str(), reason);
    if (!config)
        return fail(options.configFile + ": " + reason);
    config->part = options.part;
    config->parts = options.parts;
    if (options.threads != 0)
        config->threads = options.threads;

    FakeSearcherFleet fleet(std::move(*config));
    if (!fleet.start(reason))
        return fail(reason);
    FakeSearcherControl control(fleet, options.store);
    ControlServer server([&](const HttpRequest &request) { return control.handle(request); });
    if (!server.start(options.control, reason))
        return fail(reason);
    if (!options.store.empty() && !control.writeObjects(reason))
        return fail(reason);
    std::cout << "searchers " << fleet.entries().size() << " control " << server.address()
              << std::endl;

    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code &, int) {});
    context.run();
    server.stop();
    fleet.stop();
    return 0;
}

} // namespace geraniumcart::tools
