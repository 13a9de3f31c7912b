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

const std::string Mine = "zone cairo-a out # lending-desk: rack work\n";
const std::string Theirs = "zone cairo-b out # catalogue: power work\n";

/// Stand-in store on a thread, with calls into it.
class StoreThread
{
public:
    StoreThread()
    {
        std::string reason;
        REQUIRE(m_fake.open({boost::asio::ip::address_v4::loopback(), 0}, reason));
        std::ostringstream text;
        text << m_fake.endpoint();
        address = text.str();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~StoreThread()
    {
        m_context.stop();
        m_thread.join();
    }

    /// Runs @p action on the store's thread and waits for it.
    void with(const std::function<void(FakeStore &)> &action)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            action(m_fake);
            done.set_value();
        });
        done.get_future().wait();
    }

    std::string rules()
    {
        std::string text;
        with([&](FakeStore &fake) {
            const auto object = fake.objects().find("rules");
            text = object ? object->value : "";
        });
        return text;
    }

    std::string address;

private:
    boost::asio::io_context m_context{1};
    // Calls are also run after the store has closed its listener.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_keepRunning{
            m_context.get_executor()};
    FakeStore m_fake{m_context};
    std::thread m_thread;
};

/// Directory of one operator.
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

struct CliRun
{
    int code = 0;
    /// Standard output and error.
    std::string text;
};

CliRun runCli(std::vector<std::string> words)
{
    words.insert(words.begin(), "geraniumcart");
    std::vector<const char *> arguments;
    for (const std::string &word : words)
        arguments.push_back(word.c_str());
    std::ostringstream shown;
    auto *const out = std::cout.rdbuf(shown.rdbuf());
    auto *const err = std::cerr.rdbuf(shown.rdbuf());
    CliRun run;
    run.code = runOperatorCli(static_cast<int>(arguments.size()), arguments.data());
    std::cout.rdbuf(out);
    std::cerr.rdbuf(err);
    run.text = shown.str();
    return run;
}

} // namespace

// Guards against exit codes, messages and stored rules that disagree, and against an edit of either
// operator that is lost.
TEST_CASE("the command line ends with its documented exit code")
{
    struct Case
    {
        const char *failure;
        /// Brings the store and the file into place.
        std::function<void(StoreThread &, OperatorDirectory &)> prepare;
        const char *command;
        int code;
        const char *shown;
        /// Text of the rules and of the file afterwards.
        std::string stored;
        std::string file;
    };
    const auto fetched = [](StoreThread &store, OperatorDirectory &directory) {
        store.with([](FakeStore &fake) { fake.objects().write("rules", Theirs); });
        runCli({"--store", store.address, "fetch", directory.path("rules")});
        directory.write("rules", Mine);
    };
    const auto faulty = [fetched](FakeStoreFaults faults) {
        return [fetched, faults](StoreThread &store, OperatorDirectory &directory) {
            fetched(store, directory);
            store.with([&](FakeStore &fake) { fake.setFaults(faults); });
        };
    };
    const auto noted = [](const std::string &sidecar) {
        return [sidecar](StoreThread &store, OperatorDirectory &directory) {
            store.with([](FakeStore &fake) { fake.objects().write("rules", Theirs); });
            directory.write("rules", Mine);
            directory.write("rules.version", sidecar);
        };
    };
    const auto row = GENERATE_COPY(values<Case>({
            {"an edit of the rules that were fetched is refused", fetched, "apply", ExitOk,
             "accepted version 2", Mine, Mine},
            {"first rules are refused",
             [](StoreThread &, OperatorDirectory &directory) { directory.write("rules", Mine); },
             "apply", ExitOk, "accepted version 1", Mine, Mine},
            {"a file that was never fetched overwrites rules",
             [](StoreThread &store, OperatorDirectory &directory) {
                 store.with([](FakeStore &fake) { fake.objects().write("rules", Theirs); });
                 directory.write("rules", Mine);
             },
             "apply", ExitRefused, "-zone cairo-b out", Theirs, Mine},
            {"a racing edit is overwritten",
             [fetched](StoreThread &store, OperatorDirectory &directory) {
                 fetched(store, directory);
                 store.with([](FakeStore &fake) {
                     fake.objects().write("rules", "# racing\n" + Theirs);
                 });
             },
             "apply", ExitRefused, "+zone cairo-a out", "# racing\n" + Theirs, Mine},
            {"the version of another store passes for this one's", noted("1 127.0.0.1:9\n"),
             "apply", ExitRefused, "Nothing was written", Theirs, Mine},
            {"a malformed version file passes", noted("1x"), "apply", ExitUsage, "rules.version",
             Theirs, Mine},
            {"malformed rules reach the store",
             [fetched](StoreThread &store, OperatorDirectory &directory) {
                 fetched(store, directory);
                 directory.write("rules", "zone cairo-a out\n");
             },
             "apply", ExitRefused, "rules:1:17: missing comment", Theirs, "zone cairo-a out\n"},
            {"an unreachable store is reported as an unknown result",
             [fetched](StoreThread &store, OperatorDirectory &directory) {
                 fetched(store, directory);
                 store.with([](FakeStore &fake) { fake.close(); });
             },
             "apply", ExitUnreachable, "does not answer", Theirs, Mine},
            {"a store that refuses calls is reported as an unknown result",
             faulty({.unavailable = true}), "apply", ExitUnreachable, "does not answer", Theirs,
             Mine},
            {"a lost answer is reported as failure", faulty({.loseAnswers = 1}), "apply", ExitOk,
             "accepted version 2", Mine, Mine},
            {"a lost request is reported as accepted before the write", faulty({.loseRequests = 1}),
             "apply", ExitOk, "accepted version 2", Mine, Mine},
            {"requests lost again and again are reported as accepted", faulty({.loseRequests = 9}),
             "apply", ExitUnknown, "run apply again", Theirs, Mine},
            {"fetch overwrites an edit", fetched, "fetch", ExitRefused, "would be lost", Theirs,
             Mine},
            {"diff leaves out a side", fetched, "diff", ExitOk, "+zone cairo-a out", Theirs, Mine},
            {"check needs a store", fetched, "check", ExitOk, "ok", Theirs, Mine},
            {"an unknown command passes", fetched, "appply", ExitUsage, "unknown command", Theirs,
             Mine},
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

// Guards against a later edit that is refused since apply did not note its version, and against a
// repeated apply after a lost answer that shows the operator a conflict with their own rules.
TEST_CASE("an operator can go on after each apply")
{
    StoreThread store;
    OperatorDirectory directory;
    const auto apply = [&] {
        return runCli({"--store", store.address, "apply", directory.path("rules")}).code;
    };
    directory.write("rules", Mine);
    CHECK(apply() == ExitOk);
    directory.write("rules", Mine + Theirs);
    CHECK(apply() == ExitOk);
    CHECK(apply() == ExitOk);
    directory.write("rules", Theirs);
    store.with([](FakeStore &fake) { fake.setFaults({.loseRequests = 9}); });
    CHECK(apply() == ExitUnknown);
    store.with([](FakeStore &fake) { fake.setFaults({}); });
    CHECK(apply() == ExitOk);
    CHECK(store.rules() == Theirs);
}

// Guards against tables whose cells stand under the wrong title, answers that end the program, and
// control characters that reach the terminal.
TEST_CASE("a daemon's answers are shown as tables")
{
    const auto [failure, command, answer, expected] =
            GENERATE(table<const char *, const char *, const char *, const char *>({
                    {"cells misaligned", "status",
                     R"({"rulesVersion":7,"rules":[{"rule":"zone a out","line":1,"state":"done"},)"
                     R"({"rule":"class urgent weight 8","line":2,"state":"inProgress"}]})",
                     "rulesVersion  7\nrules:\n"
                     "  rule                   line  state\n"
                     "  zone a out             1     done\n"
                     "  class urgent weight 8  2     inProgress\n"},
                    {"absent field shifts the row", "status",
                     R"({"rules":[{"a":1,"c":2},{"c":3},{"a":4,"b":5}]})",
                     "rules:\n  a  c  b\n  1  2\n     3\n  4     5\n"},
                    {"time not readable", "status", R"({"rules":[{"sinceMs":1764950400000}]})",
                     "rules:\n  since\n  2025-12-05T16:00:00Z\n"},
                    {"time out of range ends the program", "status",
                     R"({"rules":[{"sinceMs":1e300},{"sinceMs":-1}]})",
                     "rules:\n  since\n  1e+300\n  -1\n"},
                    {"escape sequence reaches the terminal", "entries",
                     R"({"entries":[{"zone":"\u001b[2Ja"}]})", "entries:\n  zone\n  ?[2Ja\n"},
                    {"empty list", "entries", R"({"entries":[]})", "entries: none\n"},
            }));
    INFO(failure);
    CHECK(formatAnswer(command, answer) == std::optional<std::string>(expected));
}

// Guards against another answer that is shown as if it were the daemon's.
TEST_CASE("an answer of another kind is refused")
{
    const auto answer = GENERATE(values<const char *>({"", "<html>", "[]", "{}", R"({"x":[]})"}));
    INFO(answer);
    CHECK_FALSE(formatAnswer("status", answer));
}
