#include "support/raw_server.h"

#include "process/asio_timer_service_p.h"
#include "store_watch.h"

#include <catch2/catch.hpp>

#include <map>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

RawAnswer answerWith(int status, const std::string &body)
{
    return {"HTTP/1.1 " + std::to_string(status) +
            " Status\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body};
}

std::string object(const std::string &name, int revision)
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
           R"(},"spec":{}})";
}

struct Heard final : platform::KindListener
{
    void onObject(const platform::ObjectView &object) override
    {
        if (object.isDeleted)
            present.erase(object.name);
        else
            present[object.name] = object.revision;
    }
    void onContact() override {}
    void onFailure() override { ++lost; }
    void onList(const std::set<std::string> &names, std::uint64_t) override
    {
        ++lists;
        std::erase_if(present, [&](const auto &entry) { return !names.contains(entry.first); });
    }

    std::map<std::string, std::uint64_t> present;
    int lists = 0;
    int lost = 0;
};

struct Cell
{
    explicit Cell(RawServer::Script script, Duration interval = 0ms)
        : server(context, std::move(script))
        , watch(client, timers, heard, calls,
                {.kind = "things", .maxWait = 100ms, .minInterval = interval})
    {
        watch.start();
    }

    boost::asio::io_context context;
    AsioTimerService timers{context};
    RawServer server;
    HttpClient client{context, server.endpoint()};
    Heard heard;
    StoreCallCounts calls;
    platform::KindWatch watch;
};

bool isWatchOf(const std::string &head, const std::string &revision)
{
    return head.find("watch=" + revision + "&") != std::string::npos;
}

using Present = std::map<std::string, std::uint64_t>;

} // namespace

TEST_CASE("a watch holds what the store holds")
{
    const auto [failure, script, expected, lists] =
            GENERATE(table<const char *, RawServer::Script, Present, int>({
                    {"a second page is not read",
                     [](const std::string &head) {
                         if (head.find("watch=") != std::string::npos)
                             return RawAnswer{""};
                         if (head.find("after=a") != std::string::npos)
                             return answerWith(200, R"({"items":[)" + object("b", 2) +
                                                            R"(],"has_more":false,"current_rev":9})");
                         return answerWith(200, R"({"items":[)" + object("a", 1) +
                                                        R"(],"has_more":true,"current_rev":5})");
                     },
                     {{"a", 1}, {"b", 2}},
                     1},
                    {"changes between two pages are missed",
                     [](const std::string &head) {
                         // The watch starts at the revision of the first page.
                         if (isWatchOf(head, "5"))
                             return answerWith(200, R"({"events":[{"deleted":false,"object":)" +
                                                            object("a", 6) +
                                                            R"(}],"current_rev":9})");
                         if (head.find("watch=") != std::string::npos)
                             return RawAnswer{""};
                         if (head.find("after=a") != std::string::npos)
                             return answerWith(200, R"({"items":[],"has_more":false,"current_rev":9})");
                         return answerWith(200, R"({"items":[)" + object("a", 1) +
                                                        R"(],"has_more":true,"current_rev":5})");
                     },
                     {{"a", 6}},
                     1},
                    {"a deleted object stays",
                     [](const std::string &head) {
                         if (isWatchOf(head, "5"))
                             return answerWith(200, R"({"events":[{"deleted":true,"object":)" +
                                                            object("a", 6) +
                                                            R"(}],"current_rev":6})");
                         if (head.find("watch=") != std::string::npos)
                             return RawAnswer{""};
                         return answerWith(200, R"({"items":[)" + object("a", 1) + "," +
                                                        object("b", 2) +
                                                        R"(],"has_more":false,"current_rev":5})");
                     },
                     {{"b", 2}},
                     1},
                    {"a lost history is not read again",
                     [](const std::string &head) {
                         static int listed = 0;
                         if (isWatchOf(head, "5"))
                             return answerWith(410, "{}");
                         if (head.find("watch=") != std::string::npos)
                             return RawAnswer{""};
                         const bool isFirst = ++listed == 1;
                         return answerWith(200, std::string(R"({"items":[)") +
                                                        (isFirst ? object("a", 1) : object("c", 7)) +
                                                        R"(],"has_more":false,"current_rev":)" +
                                                        (isFirst ? "5}" : "8}"));
                     },
                     {{"c", 7}},
                     2},
                    {"an answer that cannot be read ends the watch",
                     [](const std::string &head) {
                         static int asked = 0;
                         if (head.find("watch=") != std::string::npos)
                             return RawAnswer{""};
                         if (++asked == 1)
                             return answerWith(200, "no json");
                         return answerWith(200, R"({"items":[)" + object("a", 1) +
                                                        R"(],"has_more":false,"current_rev":5})");
                     },
                     {{"a", 1}},
                     1},
            }));
    INFO(failure);
    Cell cell(script);
    cell.context.run_for(500ms);
    CHECK(cell.heard.present == expected);
    CHECK(cell.heard.lists == lists);
}

TEST_CASE("the calls of a watch are bounded")
{
    const auto [failure, status, interval, most] =
            GENERATE(table<const char *, int, Duration, std::size_t>({
                    {"a refusing store is asked without a pause", 503, 0ms, 6},
                    {"a missing kind is asked without a pause", 404, 0ms, 6},
                    {"a store at its rate is asked without a pause", 429, 0ms, 6},
                    {"frequent changes cost a call each", 200, 200ms, 6},
            }));
    INFO(failure);
    Cell cell(
            [status = status](const std::string &head) {
                if (status != 200)
                    return answerWith(status, "{}");
                if (head.find("watch=") != std::string::npos)
                    return answerWith(200, R"({"events":[],"current_rev":5})");
                return answerWith(200, R"({"items":[],"has_more":false,"current_rev":5})");
            },
            interval);
    cell.context.run_for(800ms);
    CHECK(cell.server.heads.size() <= most);
    CHECK(cell.server.heads.size() >= 2);
}

// Guards against a store that went silent and is waited for long after its return.
TEST_CASE("a silent watch is given up and asked again without waiting")
{
    int calls = 0;
    Cell cell([&calls](const std::string &head) {
        if (head.find("watch=") == std::string::npos)
            return answerWith(200, R"({"items":[],"has_more":false,"current_rev":5})");
        return ++calls < 2 ? RawAnswer{""} : answerWith(200, R"({"events":[],"current_rev":6})");
    });
    cell.context.run_for(1800ms);
    REQUIRE(cell.server.heads.size() >= 3);
    CHECK(cell.server.heads[1].find("wait_ms=100") != std::string::npos);
    CHECK(cell.server.heads[2].find("wait_ms=0") != std::string::npos);
}

// Guards against calls that hide among others in the counts.
TEST_CASE("a call to the store counts under its result")
{
    const auto [failure, httpFailure, status,
                result] = GENERATE(table<const char *, HttpFailure, unsigned, StoreCallResult>({
            {"an answer counts as refused", HttpFailure::None, 200, StoreCallResult::Answered},
            {"a full store counts as gone", HttpFailure::None, 429, StoreCallResult::Refused},
            {"a busy store counts as an answer", HttpFailure::None, 503, StoreCallResult::Refused},
            {"a lost history counts as refused", HttpFailure::None, 410,
             StoreCallResult::HistoryGone},
            {"a lost race counts as refused", HttpFailure::None, 409, StoreCallResult::Conflict},
            {"a lost answer counts as one", HttpFailure::ResponseLost, 200,
             StoreCallResult::NoAnswer},
            {"a lost connection counts as an answer", HttpFailure::NotSent, 200,
             StoreCallResult::NoAnswer},
    }));
    INFO(failure);
    HttpResponse response;
    response.result(status);
    CHECK(platform::resultOf(httpFailure, response) == result);
}

// Guards against watch calls of daemons that are no watchers once roles are taken, and against a
// stale list that hides a change.
TEST_CASE("the first watch waits and brings what a stale list lacks")
{
    boost::asio::io_context context;
    AsioTimerService timers(context);
    RawServer server(context, [](const std::string &head) {
        if (isWatchOf(head, "5"))
            return answerWith(200, R"({"events":[{"deleted":false,"object":)" + object("b", 6) +
                                           R"(}],"current_rev":6})");
        if (head.find("watch=") != std::string::npos)
            return RawAnswer{""};
        return answerWith(200, R"({"items":[)" + object("a", 1) +
                                       R"(],"has_more":false,"current_rev":5})");
    });
    HttpClient client(context, server.endpoint());
    Heard heard;
    StoreCallCounts calls;
    platform::KindWatch watch(
            client, timers, heard, calls,
            {.kind = "things", .maxWait = 100ms, .firstWatchDelay = 200ms, .acceptsStaleList = true});
    watch.start();
    context.run_for(100ms);
    REQUIRE(server.heads.size() == 1);
    CHECK(server.heads[0].find("?stale_ok=1 ") != std::string::npos);
    const bool isStopped = GENERATE(false, true);
    if (isStopped)
        watch.stop();
    context.run_for(300ms);
    CHECK((server.heads.size() == 1) == isStopped);
    CHECK(heard.present.contains("b") == !isStopped);
}

// Guards against a stale list after a lost history, whose revision leads to the same loss again:
// the calls then repeat as fast as the store answers.
TEST_CASE("a list after a lost history is not a stale one")
{
    boost::asio::io_context context;
    AsioTimerService timers(context);
    RawServer server(context, [](const std::string &head) {
        if (isWatchOf(head, "5"))
            return answerWith(410, "{}");
        if (head.find("watch=") != std::string::npos)
            return RawAnswer{""};
        const bool isStale = head.find("stale_ok=1") != std::string::npos;
        return answerWith(200, R"({"items":[)" + object("a", 1) +
                                       R"(],"has_more":false,"current_rev":)" +
                                       (isStale ? "5}" : "8}"));
    });
    HttpClient client(context, server.endpoint());
    Heard heard;
    StoreCallCounts calls;
    platform::KindWatch watch(client, timers, heard, calls,
                              {.kind = "things", .maxWait = 100ms, .acceptsStaleList = true});
    watch.start();
    context.run_for(300ms);
    // A stale list, a lost watch, a current list and the watch that waits.
    CHECK(server.heads.size() == 4);
}

// Guards against a watcher that goes on as current although the store refuses it.
TEST_CASE("a failed call is reported before the next answer")
{
    const auto [failure, answer, isLost] = GENERATE(table<const char *, RawAnswer, bool>({
            {"a good answer counts as a loss",
             answerWith(200, R"({"items":[],"has_more":false,"current_rev":5})"), false},
            {"a busy store counts as one that answers", answerWith(503, "{}"), true},
            {"a reset goes unnoticed", RawAnswer{"", RawAnswer::Then::Reset}, true},
            {"an answer that cannot be read counts as one", answerWith(200, "no json"), true},
    }));
    INFO(failure);
    Cell cell([listAnswer = answer](const std::string &head) {
        return head.find("watch=") == std::string::npos ? listAnswer : RawAnswer{""};
    });
    cell.context.run_for(80ms);
    CHECK((cell.heard.lost > 0) == isLost);
}
