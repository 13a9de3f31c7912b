#pragma once

#include "fake_fleet.h"
#include "raw_server.h"

#include "connection/upstream_connections_p.h"
#include "process/asio_timer_service_p.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace geraniumcart::test {

inline const UpstreamHeaderNames Names{"Call-Id",     "Time-Left-Ms", "Signature",  "Meant-For",
                                       "Did-Not-Run", "Own-Load",     "Going-Away", "At-Most"};

/// Maximum time to wait for an outcome.
constexpr std::chrono::seconds TestTimeout{3};

/// Stores how an exchange ended.
struct ExchangeOutcome final : ExchangeListener
{
    void onReply(ExchangeId, UpstreamReply answer) override { reply = std::move(answer); }
    void onFailure(ExchangeId, ExchangeFailure reason) override
    {
        failure = reason;
        ++failures;
    }
    bool hasEnded() const { return reply || failure; }

    std::optional<UpstreamReply> reply;
    std::optional<ExchangeFailure> failure;
    int failures = 0;
};

/// Connections of one worker to one scripted searcher.
struct ConnectionsFixture
{
    explicit ConnectionsFixture(RawServer::Script script)
        : server(context, std::move(script))
    {
        SearcherRecord record = searcher("desk", "i-1");
        record.address = server.address();
        upstream = std::make_shared<Upstream>(record);
    }

    std::shared_ptr<ExchangeOutcome> send(const std::string &id,
                                          Duration time = std::chrono::seconds(1))
    {
        auto request = std::make_shared<ForwardRequest>();
        request->id = id;
        request->method = "GET";
        request->target = "/a/b?c=%20d";
        request->headers = {{"Host", "shop.example"}, {"Call-Id", id}, {"X-Own", "kept"}};
        auto outcome = std::make_shared<ExchangeOutcome>();
        connections.send(upstream, request, timers.now() + time, outcome);
        hasEndedInsideSend = outcome->hasEnded();
        return outcome;
    }
    /// Sends a request and waits for its outcome. Fails the test after TestTimeout.
    std::shared_ptr<ExchangeOutcome> exchange(const std::string &id,
                                              Duration time = std::chrono::seconds(1))
    {
        auto outcome = send(id, time);
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!outcome->hasEnded() && std::chrono::steady_clock::now() < end)
            context.run_one_for(std::chrono::milliseconds(100));
        REQUIRE(outcome->hasEnded());
        return outcome;
    }
    void runFor(Duration time) { context.run_for(time); }

    boost::asio::io_context context;
    AsioTimerService timers{context};
    RawServer server;
    UpstreamConnections connections{context, timers, Names};
    std::shared_ptr<Upstream> upstream;
    /// Whether the last exchange ended before send() had returned its id.
    bool hasEndedInsideSend = false;
};

inline std::string goodAnswer(const std::string &id, const std::string &body = "body",
                              const std::string &fields = "")
{
    return "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nSignature: s-" + id + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace geraniumcart::test
