#include <catch2/catch.hpp>

#include "fake_store.h"
#include "operator_cli.h"
#include "operator_tables.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

using namespace geraniumcart;
using namespace geraniumcart::tools;
using namespace std::chrono_literals;

namespace {

const std::string OwnRules = "zone cairo-a out # lending-desk: rack work\n";
const std::string OtherRules = "zone cairo-b out # catalogue: power work\n";

/// Runs a fake store on a thread of its own and gives tests access to it there.
class StoreThread
{
public:
    StoreThread()
    {
        std::string reason;
        REQUIRE(m_store.open({boost::asio::ip::address_v4::loopback(), 0}, reason));
        std::ostringstream text;
        text << m_store.endpoint();
        address = text.str();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~StoreThread()
    {
        m_context.stop();
        m_thread.join();
    }

    /// Runs @p action on the store's thread and waits for it.
    void runOnThread(const std::function<void(FakeStore &)> &action)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            action(m_store);
            done.set_value();
        });
        done.get_future().wait();
    }

    std::string rules()
    {
        std::string text;
        runOnThread([&](FakeStore &fake) {
            const auto object = fake.objects().find("rules");
            text = object ? object->value : "";
        });
        return text;
    }

    std::string address;

private:
    boost::asio::io_context m_context{1};
    // Keeps the thread running after the store has closed its listener, because runOnThread() is
    // also called then.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_keepRunning{
            m_context.get_executor()};
    FakeStore m_store{m_context};
    std::thread m_thread;
};

/// Temporary directory with the files of one operator; removed at the end.
class OperatorDirectory
{
public:
    OperatorDirectory()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "directory-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        m_directory = pattern;
    }

    ~OperatorDirectory() { std::filesystem::remove_all(m_directory); }

    std::string path(const std::string &name) const { return m_directory / name; }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(path(name), std::ios::binary) << text;
    }

    std::string read(const std::string &name) const
    {
        std::ifstream file(path(name), std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }

private:
    std::filesystem::path m_directory;
};

/// Result of a command.
struct CliRun
{
    int code = 0;
    /// Standard output and standard error.
    std::string text;
};

/// Runs a command in this process and captures its output.
CliRun runCli(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "geraniumcart");
    std::vector<const char *> argv;
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    std::ostringstream output;
    auto *const out = std::cout.rdbuf(output.rdbuf());
    auto *const err = std::cerr.rdbuf(output.rdbuf());
    CliRun run;
    run.code = runOperatorCli(static_cast<int>(argv.size()), argv.data());
    std::cout.rdbuf(out);
    std::cerr.rdbuf(err);
    run.text = output.str();
    return run;
}

} // namespace

// Guards against an exit code or message that contradicts what is stored, and against an edit of
// one operator that overwrites the edit of another. This can happen when the store is unreachable,
// loses requests or answers, or is written between fetch and apply.
TEST_CASE("each command exits with its documented code and keeps both operators' edits")
{
    struct Row
    {
        const char *failure;
        /// Sets up the store and the file.
        std::function<void(StoreThread &, OperatorDirectory &)> prepare;
        const char *command;
        int code;
        const char *shown;
        /// Text of the rules and of the file afterwards.
        std::string stored;
        std::string file;
    };
    const auto withFetchedRules = [](StoreThread &store, OperatorDirectory &directory) {
        store.runOnThread([](FakeStore &fake) { fake.objects().write("rules", OtherRules); });
        runCli({"--store", store.address, "fetch", directory.path("rules")});
        directory.write("rules", OwnRules);
    };
    const auto withFaultyStore = [withFetchedRules](FakeStoreFaults faults) {
        return [withFetchedRules, faults](StoreThread &store, OperatorDirectory &directory) {
            withFetchedRules(store, directory);
            store.runOnThread([&](FakeStore &fake) { fake.setFaults(faults); });
        };
    };
    const auto withVersionFile = [](const std::string &versionText) {
        return [versionText](StoreThread &store, OperatorDirectory &directory) {
            store.runOnThread([](FakeStore &fake) { fake.objects().write("rules", OtherRules); });
            directory.write("rules", OwnRules);
            directory.write("rules.version", versionText);
        };
    };
    const auto row = GENERATE_COPY(values<Row>({
            {"an edit of the fetched rules is refused", withFetchedRules, "apply", ExitOk,
             "accepted version 2", OwnRules, OwnRules},
            {"the first rules are refused",
             [](StoreThread &, OperatorDirectory &directory) {
                 directory.write("rules", OwnRules);
             },
             "apply", ExitOk, "accepted version 1", OwnRules, OwnRules},
            {"a file that was not fetched overwrites rules",
             [](StoreThread &store, OperatorDirectory &directory) {
                 store.runOnThread(
                         [](FakeStore &fake) { fake.objects().write("rules", OtherRules); });
                 directory.write("rules", OwnRules);
             },
             "apply", ExitRefused, "-zone cairo-b out", OtherRules, OwnRules},
            {"an edit that was written after the fetch is overwritten",
             [withFetchedRules](StoreThread &store, OperatorDirectory &directory) {
                 withFetchedRules(store, directory);
                 store.runOnThread([](FakeStore &fake) {
                     fake.objects().write("rules", "# racing\n" + OtherRules);
                 });
             },
             "apply", ExitRefused, "+zone cairo-a out", "# racing\n" + OtherRules, OwnRules},
            {"the version of another store is accepted", withVersionFile("1 127.0.0.1:9\n"),
             "apply", ExitRefused, "Nothing was written", OtherRules, OwnRules},
            {"a malformed version file is accepted", withVersionFile("1x"), "apply", ExitUsage,
             "rules.version", OtherRules, OwnRules},
            {"malformed rules are written to the store",
             [withFetchedRules](StoreThread &store, OperatorDirectory &directory) {
                 withFetchedRules(store, directory);
                 directory.write("rules", "zone cairo-a out\n");
             },
             "apply", ExitRefused, "rules:1:17: missing comment", OtherRules, "zone cairo-a out\n"},
            {"an unreachable store is reported as an unknown result",
             [withFetchedRules](StoreThread &store, OperatorDirectory &directory) {
                 withFetchedRules(store, directory);
                 store.runOnThread([](FakeStore &fake) { fake.close(); });
             },
             "apply", ExitUnreachable, "does not answer", OtherRules, OwnRules},
            {"a store that refuses calls is reported as an unknown result",
             withFaultyStore({.unavailable = true}), "apply", ExitUnreachable, "does not answer",
             OtherRules, OwnRules},
            {"a lost answer is reported as a failure", withFaultyStore({.loseAnswers = 1}), "apply",
             ExitOk, "accepted version 2", OwnRules, OwnRules},
            {"a lost request is reported as accepted without a write",
             withFaultyStore({.loseRequests = 1}), "apply", ExitOk, "accepted version 2", OwnRules,
             OwnRules},
            {"repeatedly lost requests are reported as accepted",
             withFaultyStore({.loseRequests = 9}), "apply", ExitUnknown, "run apply again",
             OtherRules, OwnRules},
            {"fetch overwrites an edit", withFetchedRules, "fetch", ExitRefused, "would be lost",
             OtherRules, OwnRules},
            {"diff omits the lines of one side", withFetchedRules, "diff", ExitOk,
             "+zone cairo-a out", OtherRules, OwnRules},
            {"check needs a store", withFetchedRules, "check", ExitOk, "ok", OtherRules, OwnRules},
            {"an unknown command is accepted", withFetchedRules, "appply", ExitUsage,
             "unknown command", OtherRules, OwnRules},
    }));
    INFO(row.failure);
    StoreThread store;
    OperatorDirectory directory;
    row.prepare(store, directory);
    const CliRun run = runCli({"--store", store.address, row.command, directory.path("rules")});
    INFO(run.text);
    CHECK(run.code == row.code);
    CHECK(run.text.find(row.shown) != std::string::npos);
    CHECK(store.rules() == row.stored);
    CHECK(directory.read("rules") == row.file);
}

// Guards against a later edit that is refused because apply did not save the new version, and
// against a repeated apply after a lost answer that reports a conflict with the operator's own
// rules.
TEST_CASE("an operator can apply further edits after each apply")
{
    StoreThread store;
    OperatorDirectory directory;
    const auto apply = [&] {
        return runCli({"--store", store.address, "apply", directory.path("rules")}).code;
    };
    directory.write("rules", OwnRules);
    CHECK(apply() == ExitOk);
    directory.write("rules", OwnRules + OtherRules);
    CHECK(apply() == ExitOk);
    CHECK(apply() == ExitOk);
    directory.write("rules", OtherRules);
    store.runOnThread([](FakeStore &fake) { fake.setFaults({.loseRequests = 9}); });
    CHECK(apply() == ExitUnknown);
    store.runOnThread([](FakeStore &fake) { fake.setFaults({}); });
    CHECK(apply() == ExitOk);
    CHECK(store.rules() == OtherRules);
}

// Guards against cells in the wrong column, answers that make the program exit, and control
// characters that reach the terminal.
TEST_CASE("a daemon's answers are formatted as tables")
{
    const auto [failure, command, answer,
                expected] = GENERATE(table<const char *, const char *, const char *, const char *>({
            {"cells are misaligned", "status",
             R"({"rulesVersion":7,"rules":[{"rule":"zone a out","line":1,"state":"done"},)"
             R"({"rule":"class urgent weight 8","line":2,"state":"inProgress"}]})",
             "rulesVersion  7\nrules:\n"
             "  rule                   line  state\n"
             "  zone a out             1     done\n"
             "  class urgent weight 8  2     inProgress\n"},
            {"an absent field shifts the row", "status",
             R"({"rules":[{"a":1,"c":2},{"c":3},{"a":4,"b":5}]})",
             "rules:\n  a  c  b\n  1  2\n     3\n  4     5\n"},
            {"a time is not formatted", "status", R"({"rules":[{"sinceMs":1764950400000}]})",
             "rules:\n  since\n  2025-12-05T16:00:00Z\n"},
            {"a time out of range makes the program exit", "status",
             R"({"rules":[{"sinceMs":1e300},{"sinceMs":-1}]})",
             "rules:\n  since\n  1e+300\n  -1\n"},
            {"an escape sequence reaches the terminal", "entries",
             R"({"entries":[{"zone":"\u001b[2Ja"}]})", "entries:\n  zone\n  ?[2Ja\n"},
            {"an empty list is not marked", "entries", R"({"entries":[]})", "entries: none\n"},
    }));
    INFO(failure);
    CHECK(formatAnswer(command, answer) == std::optional<std::string>(expected));
}

// Guards against an answer of another server or command that is shown as if it were valid.
TEST_CASE("an answer that is not of the expected kind is refused")
{
    const auto answer = GENERATE(values<const char *>({"", "<html>", "[]", "{}", R"({"x":[]})"}));
    INFO(answer);
    CHECK_FALSE(formatAnswer("status", answer));
}
