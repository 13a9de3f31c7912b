#include "load_main.h"

#include "connection/endpoint_p.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace geraniumcart::tools {

namespace {

using Seconds = std::chrono::duration<double>;

Duration toDuration(double seconds)
{
    return std::chrono::round<Duration>(Seconds(seconds));
}

/// @return the reason why the options are invalid, empty if they are valid
std::string validateOptions(const LoadOptions &options)
{
    if (options.entries.empty() == options.targets.empty())
        return "expected exactly one of --entries and --targets";
    for (const auto &list : {options.entries, options.targets, options.searcherControls})
        for (const std::string &address : list)
            if (!parseEndpoint(address))
                return "not an IP:PORT address: " + address;
    if (options.service.empty())
        return "--service is missing";
    if (options.service.starts_with('-'))
        return "--service: expected the name of a service, got '" + options.service + "'";
    if (!(options.arrivals.ratePerSecond > 0))
        return "--rate: expected a number of requests per second above 0";
    if (!(options.arrivals.bookingShare >= 0 && options.arrivals.bookingShare <= 1))
        return "--bookings: expected a number from 0 to 1";
    if (options.duration <= Duration::zero() || options.warmUp < Duration::zero())
        return "--duration: expected seconds above 0; --warm-up: expected 0 or more seconds";
    if (options.deadline < std::chrono::milliseconds(1))
        return "--deadline: expected at least 1 ms";
    if (options.threads == 0 || options.connections == 0 || options.arrivals.tenants == 0)
        return "--threads, --connections and --tenants: expected at least 1";
    return {};
}

cxxopts::Options makeParser()
{
    cxxopts::Options parser("geraniumcart-load", "Sends open-loop load to geraniumcart daemons.");
    auto add = parser.add_options();
    add("entries", "IP:PORT list of daemons; requests go to the addresses of their /v1/entries",
        cxxopts::value<std::vector<std::string>>());
    add("targets", "IP:PORT list of fixed targets", cxxopts::value<std::vector<std::string>>());
    add("service", "service to send requests to", cxxopts::value<std::string>()->default_value(""));
    add("rate", "requests per second", cxxopts::value<double>()->default_value("100"));
    add("duration", "length of the measured window in seconds",
        cxxopts::value<double>()->default_value("10"));
    add("warm-up", "seconds before the measured window",
        cxxopts::value<double>()->default_value("0"));
    add("seed", "random seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("classes", "name:weight:share,...",
        cxxopts::value<std::string>()->default_value("ordinary:1:1"));
    add("tenants", "number of tenants", cxxopts::value<std::uint32_t>()->default_value("1"));
    add("deadline", "deadline in milliseconds", cxxopts::value<double>()->default_value("1000"));
    add("bookings", "share of bookings, 0 to 1", cxxopts::value<double>()->default_value("0"));
    add("no-idempotency-key", "send bookings without Idempotency-Key");
    add("connections", "maximum number of open connections",
        cxxopts::value<std::uint32_t>()->default_value("512"));
    add("threads", "threads", cxxopts::value<std::uint32_t>()->default_value("2"));
    add("json", "file for the report as JSON", cxxopts::value<std::string>()->default_value(""));
    add("searcher-control", "IP:PORT of a fake searcher's control port; repeatable",
        cxxopts::value<std::vector<std::string>>());
    add("help", "print this text");
    return parser;
}

LoadOptions readOptions(const cxxopts::ParseResult &parsed)
{
    const auto list = [&](const char *name) {
        return parsed.count(name) != 0 ? parsed[name].as<std::vector<std::string>>()
                                       : std::vector<std::string>();
    };
    LoadOptions options;
    options.entries = list("entries");
    options.targets = list("targets");
    options.searcherControls = list("searcher-control");
    options.service = parsed["service"].as<std::string>();
    options.arrivals.ratePerSecond = parsed["rate"].as<double>();
    options.arrivals.tenants = parsed["tenants"].as<std::uint32_t>();
    options.arrivals.bookingShare = parsed["bookings"].as<double>();
    options.duration = toDuration(parsed["duration"].as<double>());
    options.warmUp = toDuration(parsed["warm-up"].as<double>());
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.deadline = toDuration(parsed["deadline"].as<double>() / 1000);
    options.connections = parsed["connections"].as<std::uint32_t>();
    options.threads = parsed["threads"].as<std::uint32_t>();
    options.sendsIdempotencyKey = parsed.count("no-idempotency-key") == 0;
    options.jsonFile = parsed["json"].as<std::string>();
    return options;
}

} // namespace

std::optional<LoadOptions> parseLoadOptions(int argc, const char *const *argv, std::string &message)
{
    cxxopts::Options parser = makeParser();
    try {
        const auto parsed = parser.parse(argc, argv);
        if (parsed.count("help") != 0) {
            message = parser.help();
            return std::nullopt;
        }
        LoadOptions options = readOptions(parsed);
        auto classes = parseClasses(parsed["classes"].as<std::string>(), message);
        if (!classes) {
            message = "--classes: " + message;
            return std::nullopt;
        }
        options.arrivals.classes = std::move(*classes);
        message = validateOptions(options);
        if (message.empty())
            return options;
    } catch (const cxxopts::exceptions::exception &error) {
        message = error.what();
    }
    return std::nullopt;
}

int runLoadTool(const LoadOptions &options)
{
    std::string reason;
    const auto report = runLoad(options, reason);
    if (!report) {
        std::cerr << "geraniumcart-load: " << reason << '\n';
        return 1;
    }
    std::cout << formatLoadTable(*report);
    if (options.jsonFile.empty())
        return 0;
    std::ofstream file(options.jsonFile);
    file << formatLoadJson(*report) << '\n';
    file.close();
    if (file)
        return 0;
    std::cerr << "geraniumcart-load: cannot write " << options.jsonFile << '\n';
    return 1;
}

} // namespace geraniumcart::tools
