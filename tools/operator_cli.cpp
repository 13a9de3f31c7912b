#include "operator_cli.h"

#include "http_call.h"
#include "operator_tables.h"

#include "connection/endpoint_p.h"

#include <geraniumcart/rules.h>
#include <geraniumcart/rules_apply.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace geraniumcart::tools {

namespace {

constexpr std::chrono::seconds CallTimeout{5};
constexpr std::chrono::seconds WatchInterval{1};
const char *const RulesTarget = "/v1/objects/rules";

const char *const HelpText =
        R"(geraniumcart: checks and applies the rules file and shows what became of each rule.

Usage: geraniumcart [--store IP:PORT] [--daemon IP:PORT] COMMAND [FILE]

  check FILE     parse the file; errors name file, line and column
  diff FILE      show how the file differs from the rules in force
  fetch FILE     write the rules in force to the file and note their version
  apply FILE     put the file in force, unless another edit came between
  status         show each rule and its state; --watch repeats, --json prints JSON
  entries        show the addresses that callers use
  limits         show the limits that a daemon enforces
  --help         print this text

--store (GERANIUMCART_STORE) is the object store, --daemon (GERANIUMCART_DAEMON) any entry daemon.
The version that was last read or applied stands in FILE.version.

Exit codes: 0 done; 1 rules refused or edit conflict; 2 usage; 3 store or daemon does not answer;
4 it is not known whether the rules were accepted.
)";

struct CliOptions
{
    std::string command;
    std::string file;
    std::string store;
    std::string daemon;
    bool isJson = false;
    bool isWatching = false;
};

/// The rules object over HTTP.
class HttpRulesStore final : public RulesStore
{
public:
    explicit HttpRulesStore(std::string address)
        : m_address(std::move(address))
    {
    }

    std::optional<StoredObject> read(StoreError &error) override
    {
        const auto response = call(makeRequest(boost::beast::http::verb::get, RulesTarget));
        if (!response || response->result_int() >= 500) {
            error = StoreError::Unavailable;
            return std::nullopt;
        }
        if (response->result() == boost::beast::http::status::not_found) {
            error = StoreError::NotFound;
            return std::nullopt;
        }
        return StoredObject{"rules", versionOf(*response), response->body()};
    }

    std::optional<std::uint64_t> write(std::uint64_t expected, const std::string &text,
                                       StoreError &error) override
    {
        HttpRequest request = makeRequest(boost::beast::http::verb::put, RulesTarget, text);
        request.set(boost::beast::http::field::if_match, std::to_string(expected));
        const auto response = call(std::move(request));
        if (response && response->result() == boost::beast::http::status::ok)
            return versionOf(*response);
        const bool isConflict =
                response && response->result() == boost::beast::http::status::precondition_failed;
        error = isConflict ? StoreError::Conflict : StoreError::Unknown;
        return std::nullopt;
    }

private:
    std::optional<HttpResponse> call(HttpRequest request)
    {
        std::string reason;
        return httpCall(m_address, std::move(request), CallTimeout, reason);
    }

    static std::uint64_t versionOf(const HttpResponse &response)
    {
        return std::strtoull(std::string(response["Object-Version"]).c_str(), nullptr, 10);
    }

    std::string m_address;
};

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value ? value : "";
}

std::optional<CliOptions> parseCliOptions(int argc, const char *const *argv, std::string &reason)
{
    cxxopts::Options parser("geraniumcart");
    parser.add_options()("store", "", cxxopts::value<std::string>())(
            "daemon", "", cxxopts::value<std::string>())("json", "")("watch", "")("help", "")(
            "words", "", cxxopts::value<std::vector<std::string>>());
    parser.parse_positional({"words"});
    CliOptions options;
    try {
        const auto parsed = parser.parse(argc, argv);
        const auto words = parsed.count("words") ? parsed["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>();
        if (words.size() > 2) {
            reason = "too many words after the command: " + words[2];
            return std::nullopt;
        }
        options.command = parsed.count("help") ? "help" : words.empty() ? "" : words[0];
        options.file = words.size() > 1 ? words[1] : "";
        options.store = parsed.count("store") ? parsed["store"].as<std::string>()
                                              : fromEnvironment("GERANIUMCART_STORE");
        options.daemon = parsed.count("daemon") ? parsed["daemon"].as<std::string>()
                                                : fromEnvironment("GERANIUMCART_DAEMON");
        options.isJson = parsed.count("json") > 0;
        options.isWatching = parsed.count("watch") > 0;
    } catch (const cxxopts::exceptions::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
    return options;
}

int usageError(const std::string &message)
{
    std::cerr << "geraniumcart: " << message << " (see geraniumcart --help)\n";
    return ExitUsage;
}

bool isAddress(const std::string &address)
{
    return parseEndpoint(address).has_value();
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.flush();
    return file.good();
}

std::uint64_t readBaseVersion(const std::string &path)
{
    const auto text = readFile(path + ".version");
    return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
}

void noteBaseVersion(const std::string &path, std::uint64_t version)
{
    if (!writeFile(path + ".version", std::to_string(version) + "\n"))
        std::cerr << "geraniumcart: cannot write " << path << ".version\n";
}

bool reportParse(const std::string &path, const std::string &text)
{
    ParseError error;
    if (parseRules(text, error))
        return true;
    std::cerr << path << ':' << describe(error) << '\n';
    return false;
}

int check(const CliOptions &options, const std::string &text)
{
    if (!reportParse(options.file, text))
        return ExitRefused;
    std::cout << options.file << ": ok\n";
    return ExitOk;
}

void printDiff(const std::string &before, const std::string &after)
{
    for (const std::string &line : diffLines(before, after))
        std::cout << line << '\n';
}

int unreachable(const std::string &what)
{
    std::cerr << "geraniumcart: " << what << " does not answer\n";
    return ExitUnreachable;
}

int apply(const CliOptions &options, const std::string &text)
{
    if (!reportParse(options.file, text))
        return ExitRefused;
    HttpRulesStore store(options.store);
    const std::uint64_t base = readBaseVersion(options.file);
    const ApplyResult result = applyRules(store, base, text);
    switch (result.state) {
    case ApplyState::Accepted:
        noteBaseVersion(options.file, result.version);
        std::cout << "accepted version " << result.version << '\n';
        return ExitOk;
    case ApplyState::Unchanged:
        noteBaseVersion(options.file, result.version);
        std::cout << "unchanged version " << result.version << '\n';
        return ExitOk;
    case ApplyState::Conflict:
        std::cerr << "refused: this file was edited from version " << base << ", but version "
                  << result.version << " is in force. Nothing was written.\n"
                  << "Their version (-) against yours (+):\n";
        printDiff(result.theirs, text);
        std::cerr << "Merge both into the file after 'geraniumcart fetch OTHER-FILE', and put the "
                     "version "
                  << result.version << " into " << options.file << ".version.\n";
        return ExitRefused;
    case ApplyState::Unreachable:
        return unreachable("the object store");
    case ApplyState::Unknown:
        std::cerr << "unknown: the store's answer was lost and it does not show the new rules yet; "
                     "run apply again\n";
        return ExitUnknown;
    }
    return ExitUnknown;
}

int diff(const CliOptions &options, const std::string &text)
{
    HttpRulesStore store(options.store);
    StoreError error{};
    const auto current = store.read(error);
    if (!current && error != StoreError::NotFound)
        return unreachable("the object store");
    printDiff(current ? current->value : "", text);
    return ExitOk;
}

int fetch(const CliOptions &options)
{
    HttpRulesStore store(options.store);
    StoreError error{};
    const auto current = store.read(error);
    if (!current && error != StoreError::NotFound)
        return unreachable("the object store");
    if (!writeFile(options.file, current ? current->value : ""))
        return usageError("cannot write " + options.file);
    noteBaseVersion(options.file, current ? current->version : 0);
    std::cout << "version " << (current ? current->version : 0) << " in " << options.file << '\n';
    return ExitOk;
}

int show(const CliOptions &options)
{
    std::string reason;
    const auto response = httpCall(
            options.daemon, makeRequest(boost::beast::http::verb::get, "/v1/" + options.command),
            CallTimeout, reason);
    if (!response)
        return unreachable("the daemon at " + options.daemon);
    const auto table =
            options.isJson ? response->body() : formatAnswer(options.command, response->body());
    if (!table)
        return unreachable("the daemon at " + options.daemon + " (no valid answer)");
    std::cout << *table << std::flush;
    return ExitOk;
}

int showRepeatedly(const CliOptions &options)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    while (true) {
        const int code = show(options);
        if (!options.isWatching || code != ExitOk)
            return code;
        timer.expires_after(WatchInterval);
        timer.wait();
        std::cout << '\n';
    }
}

int runWithFile(const CliOptions &options)
{
    if (options.file.empty())
        return usageError(options.command + " needs a FILE");
    if (options.command != "check" && !isAddress(options.store))
        return usageError("--store: expected IP:PORT, got '" + options.store + "'");
    if (options.command == "fetch")
        return fetch(options);
    const auto text = readFile(options.file);
    if (!text)
        return usageError("cannot read " + options.file);
    if (options.command == "check")
        return check(options, *text);
    return options.command == "apply" ? apply(options, *text) : diff(options, *text);
}

} // namespace

int runOperatorCli(int argc, const char *const *argv)
{
    std::string reason;
    const auto options = parseCliOptions(argc, argv, reason);
    if (!options)
        return usageError(reason);
    const std::string &command = options->command;
    if (command == "help") {
        std::cout << HelpText;
        return ExitOk;
    }
    if (command == "check" || command == "apply" || command == "diff" || command == "fetch")
        return runWithFile(*options);
    if (command != "status" && command != "entries" && command != "limits")
        return usageError(command.empty() ? "no command" : "unknown command '" + command + "'");
    if (!isAddress(options->daemon))
        return usageError("--daemon: expected IP:PORT, got '" + options->daemon + "'");
    return showRepeatedly(*options);
}

} // namespace geraniumcart::tools
