#include "operator_cli.h"

#include "explain.h"

#include "http_call.h"
#include "operator_tables.h"

#include "connection/endpoint_p.h"
#include "connection/http_object_store_p.h"

#include <geraniumcart/rules.h>
#include <geraniumcart/rules_apply.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace geraniumcart::tools {

namespace {

constexpr std::chrono::seconds CallTimeout{5};
constexpr std::chrono::seconds WatchInterval{1};
const char *const RulesKey = "rules";

const char *const HelpText =
        R"(geraniumcart: checks and applies the rules file and shows the state of each rule.

Usage: geraniumcart [--store IP:PORT] [--daemon IP:PORT] COMMAND [FILE...]

  check FILE     parse the file; errors name file, line and column
  diff FILE      show how the file differs from the rules in force
  fetch FILE     write the rules in force to a new file and save their version
  apply FILE     replace the rules in force by the file, unless they were edited since
  status         show each rule and its state; --watch repeats, --json prints JSON
  entries        show the addresses that callers use
  limits         show the limits that a daemon enforces
  explain ID [FILE...]
                 print the log events that explain one request; reads standard input without FILE
  --help         print this text

--store (GERANIUMCART_STORE) is the object store, --daemon (GERANIUMCART_DAEMON) any entry daemon.
FILE.version holds the version that was last fetched or applied, and its store; apply is refused
if another version is in force.

Exit codes: 0 success; 1 rules refused, edit conflict or request not found; 2 invalid usage;
3 store or daemon does not answer; 4 it is not known whether the rules were accepted.
)";

struct CliOptions
{
    std::string command;
    /// The first argument after the command; empty if there is none.
    std::string file;
    /// All positional arguments; the first is the command.
    std::vector<std::string> arguments;
    std::string store;
    std::string daemon;
    bool isJson = false;
    bool isWatching = false;
};

/// Accesses the rules object over HTTP. Each call blocks until the store answers or the call fails.
class HttpRulesStore final : public RulesStore
{
public:
    explicit HttpRulesStore(const boost::asio::ip::tcp::endpoint &server)
        : m_store(m_context, server)
    {
    }

    std::optional<StoredObject> read(StoreError &error) override
    {
        std::optional<StoredObject> object;
        m_store.get(RulesKey, [&](std::optional<StoredObject> found, StoreError reason) {
            object = std::move(found);
            error = reason;
            m_context.stop();
        });
        run();
        return object;
    }

    std::optional<std::uint64_t> write(std::uint64_t expected, const std::string &text,
                                       StoreError &error) override
    {
        std::optional<std::uint64_t> version;
        m_store.put(RulesKey, expected, text,
                    [&](std::optional<std::uint64_t> written, StoreError reason) {
                        version = written;
                        error = reason;
                        m_context.stop();
                    });
        run();
        return version;
    }

    void pause(Duration time) override
    {
        boost::asio::steady_timer timer(m_context, time);
        timer.wait();
    }

private:
    void run()
    {
        m_context.restart();
        m_context.run();
    }

    boost::asio::io_context m_context{1};
    HttpObjectStore m_store;
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
        const auto arguments = parsed.count("words")
                                       ? parsed["words"].as<std::vector<std::string>>()
                                       : std::vector<std::string>();
        const bool isExplain = !arguments.empty() && arguments[0] == "explain";
        if (arguments.size() > 2 && !isExplain) {
            reason = "unexpected argument: " + arguments[2];
            return std::nullopt;
        }
        options.command = parsed.count("help") ? "help" : arguments.empty() ? "" : arguments[0];
        options.file = arguments.size() > 1 ? arguments[1] : "";
        options.arguments = arguments;
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

/// Replaces a file atomically by a rename, so that after a crash it has either the old text or the
/// new one.
/// @return false if the file could not be written
bool writeFile(const std::string &path, const std::string &text)
{
    const std::string temporaryPath = path + ".new";
    {
        std::ofstream file(temporaryPath, std::ios::binary | std::ios::trunc);
        file << text;
        file.flush();
        if (!file.good())
            return false;
    }
    std::error_code error;
    std::filesystem::rename(temporaryPath, path, error);
    return !error;
}

/// Reads the version of the rules that the file is based on from FILE.version. A version that was
/// read from another store is ignored: it may be equal to the version in force by chance, and the
/// edit would then overwrite rules that the operator has not seen.
/// @return the version, 0 if none was read from this store, std::nullopt if FILE.version is
/// malformed
std::optional<std::uint64_t> readBaseVersion(const CliOptions &options)
{
    const auto text = readFile(options.file + ".version");
    if (!text)
        return 0;
    std::istringstream input(*text);
    std::uint64_t version = 0;
    std::string store;
    std::string rest;
    if (!(input >> version >> store) || (input >> rest) || !isAddress(store))
        return std::nullopt;
    return store == options.store ? version : 0;
}

/// Writes FILE.version. A failure is printed, but does not change the exit code.
void saveBaseVersion(const CliOptions &options, std::uint64_t version)
{
    const std::string path = options.file + ".version";
    if (!writeFile(path, std::to_string(version) + ' ' + options.store + '\n'))
        std::cerr << "geraniumcart: cannot write " << path << '\n';
}

/// Prints the error if @p text is not valid. @return whether it is valid
bool validateRules(const std::string &path, const std::string &text)
{
    ParseError error;
    if (parseRules(text, error))
        return true;
    std::cerr << path << ':' << describe(error) << '\n';
    return false;
}

int check(const CliOptions &options, const std::string &text)
{
    if (!validateRules(options.file, text))
        return ExitRefused;
    std::cout << options.file << ": ok\n";
    return ExitOk;
}

void printDiff(std::ostream &out, const std::string &before, const std::string &after)
{
    for (const std::string &line : diffLines(before, after))
        out << line << '\n';
}

int reportUnreachable(const std::string &server)
{
    std::cerr << "geraniumcart: " << server << " does not answer\n";
    return ExitUnreachable;
}

/// Prints how the rules in force differ from the file and how to proceed.
int reportConflict(const CliOptions &options, std::uint64_t base, const ApplyResult &result,
                   const std::string &text)
{
    std::cerr << "refused: " << options.file << " is based on version " << base << ", but version "
              << result.version << " is in force. "
              << (result.mayHaveApplied
                          ? "An answer of the store was lost, so your rules may have been in force "
                            "before.\n"
                          : "Nothing was written.\n")
              << "Rules in force (-) against your file (+):\n";
    printDiff(std::cerr, result.rulesInForce, text);
    std::cerr << "Run 'geraniumcart fetch OTHER-FILE', merge your lines into OTHER-FILE and apply "
                 "OTHER-FILE.\n";
    return ExitRefused;
}

int apply(const CliOptions &options, const std::string &text)
{
    if (!validateRules(options.file, text))
        return ExitRefused;
    const std::optional<std::uint64_t> savedVersion = readBaseVersion(options);
    if (!savedVersion)
        return usageError(options.file + ".version: expected 'VERSION IP:PORT'");
    const std::uint64_t base = *savedVersion;
    HttpRulesStore store(*parseEndpoint(options.store));
    const ApplyResult result = applyRules(store, base, text);
    switch (result.state) {
    case ApplyState::Accepted:
        saveBaseVersion(options, result.version);
        std::cout << "accepted version " << result.version << '\n';
        return ExitOk;
    case ApplyState::Unchanged:
        saveBaseVersion(options, result.version);
        std::cout << "unchanged version " << result.version << '\n';
        return ExitOk;
    case ApplyState::Conflict:
        return reportConflict(options, base, result, text);
    case ApplyState::Unreachable:
        return reportUnreachable("the object store");
    case ApplyState::Unknown:
        std::cerr
                << "unknown: the store's answer was lost, and reading the rules back did not show "
                   "whether yours are in force; run apply again\n";
        return ExitUnknown;
    }
    return ExitUnknown;
}

int diff(const CliOptions &options, const std::string &text)
{
    HttpRulesStore store(*parseEndpoint(options.store));
    StoreError error{};
    const auto current = store.read(error);
    if (!current && error != StoreError::NotFound)
        return reportUnreachable("the object store");
    printDiff(std::cout, current ? current->value : "", text);
    return ExitOk;
}

int fetch(const CliOptions &options)
{
    HttpRulesStore store(*parseEndpoint(options.store));
    StoreError error{};
    const auto current = store.read(error);
    if (!current && error != StoreError::NotFound)
        return reportUnreachable("the object store");
    const std::string inForce = current ? current->value : "";
    const auto text = readFile(options.file);
    if (text && *text != inForce) {
        std::cerr << "refused: " << options.file
                  << " differs from the rules in force and would be lost; fetch to another file. "
                     "Rules in force (-) against the file (+):\n";
        printDiff(std::cerr, inForce, *text);
        return ExitRefused;
    }
    if (!text && !writeFile(options.file, inForce))
        return usageError("cannot write " + options.file);
    saveBaseVersion(options, current ? current->version : 0);
    std::cout << "version " << (current ? current->version : 0) << " in " << options.file << '\n';
    return ExitOk;
}

/// Requests the answer to `status`, `entries` or `limits` from the daemon and prints it.
int showAnswer(const CliOptions &options)
{
    std::string reason;
    const auto response = httpCall(
            options.daemon, makeRequest(boost::beast::http::verb::get, "/v1/" + options.command),
            CallTimeout, reason);
    if (!response || response->result() != boost::beast::http::status::ok)
        return reportUnreachable("the daemon at " + options.daemon);
    const auto table =
            options.isJson ? response->body() : formatAnswer(options.command, response->body());
    if (!table)
        return reportUnreachable("the daemon at " + options.daemon + " (no valid answer)");
    std::cout << *table << std::flush;
    return ExitOk;
}

/// Shows the answer once, or every second with `--watch` until a request fails.
int showAnswerRepeatedly(const CliOptions &options)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    while (true) {
        const int code = showAnswer(options);
        if (!options.isWatching || code != ExitOk)
            return code;
        timer.expires_after(WatchInterval);
        timer.wait();
        std::cout << '\n';
    }
}

int explain(const CliOptions &options)
{
    if (options.arguments.size() < 2)
        return usageError("explain: expected the id of a request");
    std::vector<LogLine> lines;
    if (options.arguments.size() == 2)
        lines = readLogLines(std::cin);
    for (std::size_t i = 2; i < options.arguments.size(); ++i) {
        std::ifstream file(options.arguments[i]);
        if (!file)
            return usageError("cannot read " + options.arguments[i]);
        for (LogLine &line : readLogLines(file))
            lines.push_back(std::move(line));
    }
    // Files may cover the same time. The sort is stable, because events of one file with the same
    // timestamp are in the order in which they were written.
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.timestamp < b.timestamp; });
    if (explainRequest(options.arguments[1], lines, std::cout))
        return ExitOk;
    std::cerr << "geraniumcart: no log line has the request id " << options.arguments[1] << '\n';
    return ExitRefused;
}

int runWithFile(const CliOptions &options)
{
    if (options.file.empty())
        return usageError(options.command + ": expected a FILE");
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
    if (command == "explain")
        return explain(*options);
    if (command != "status" && command != "entries" && command != "limits")
        return usageError(command.empty() ? "expected a command"
                                          : "unknown command '" + command + "'");
    if (!isAddress(options->daemon))
        return usageError("--daemon: expected IP:PORT, got '" + options->daemon + "'");
    return showAnswerRepeatedly(*options);
}

} // namespace geraniumcart::tools
