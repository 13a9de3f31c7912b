#pragma once

#include "fault_proxy.h"
#include "support/platform_standins.h"

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace geraniumcart::soak {

class SoakSearcher;

/// Is notified of each request that a searcher runs, on the thread of its io_context.
class RunObserver
{
public:
    virtual ~RunObserver() = default;
    virtual void onRun(const SoakSearcher &searcher, const std::string &id, bool isAtMostOnce) = 0;
};

/// Fake searcher behind a fault proxy. It reports each request that it runs and fails in
/// the way that its mode selects.
class SoakSearcher
{
public:
    enum class Mode { Serving, Full, ResetsConnection, Silent, Slow, TruncatesAnswer };

    SoakSearcher(boost::asio::io_context &context, RunObserver &observer, std::string ownService,
                 std::string ownId, std::uint64_t seed)
        : service(std::move(ownService))
        , id(std::move(ownId))
        , m_observer(observer)
        , m_random(seed)
        , m_server(context, [this](const std::string &head) { return answer(head); })
        , proxy(context, m_server.endpoint())
    {
    }

    /// @return the spec of its entry in the store
    boost::json::object entry(const char *state) const
    {
        return {{"service", service},  {"address", proxy.address()},
                {"zone", "z"},         {"config_version", "v1"},
                {"slots", 2},          {"state", state},
                {"warmup_left_ms", 0}, {"sequence_number", 1}};
    }

    const std::string service;
    const std::string id;
    Mode mode = Mode::Serving;
    /// Time at which its entry in the store was marked as draining; empty if it is not marked.
    std::optional<TimePoint> drainingSince;

private:
    test::RawAnswer answer(const std::string &head);

    RunObserver &m_observer;
    std::mt19937_64 m_random;
    test::RawServer m_server;

public:
    FaultProxy proxy;
};

inline test::RawAnswer SoakSearcher::answer(const std::string &head)
{
    const std::string request = test::headerValue(head, "Request-Id");
    if (mode == Mode::Full)
        return {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    m_observer.onRun(*this, request, head.starts_with("GET /once/"));
    const std::string body =
            service == "desk" ? "answer to " + request : (id + "................").substr(0, 16);
    const std::string response =
            "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nServer-Stamp: " + id + "/" +
            request + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::chrono::milliseconds serviceTime(3 + m_random() % 15);
    switch (mode) {
    case Mode::ResetsConnection:
        return {"", test::RawAnswer::Then::Reset};
    case Mode::Silent:
        return {""};
    case Mode::TruncatesAnswer:
        return {response.substr(0, response.size() - 2), test::RawAnswer::Then::Close};
    case Mode::Slow:
        return {"", test::RawAnswer::Then::Keep, response, serviceTime * 12};
    default:
        return {"", test::RawAnswer::Then::Keep, response, serviceTime};
    }
}

} // namespace geraniumcart::soak
