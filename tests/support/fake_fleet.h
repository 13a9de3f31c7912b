#pragma once

#include <geraniumcart/gateway.h>
#include <geraniumcart/manual_timer_service.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart::test {

/// Transport whose exchanges end when the test calls reply() or fail().
class FakeTransport final : public UpstreamTransport
{
public:
    struct Sent
    {
        ExchangeId id = 0;
        std::shared_ptr<Upstream> upstream;
        std::shared_ptr<const ForwardRequest> request;
        TimePoint deadline{};
        std::shared_ptr<ExchangeListener> listener;
        bool isOpen = true;
    };

    bool hasCapacity(const Upstream &upstream, std::uint32_t) const override
    {
        return !full.contains(upstream.instanceId());
    }
    ExchangeId send(const std::shared_ptr<Upstream> &upstream,
                    std::shared_ptr<const ForwardRequest> request, TimePoint deadline,
                    std::shared_ptr<ExchangeListener> listener) override
    {
        sent.push_back({sent.size() + 1, upstream, std::move(request), deadline,
                        std::move(listener), true});
        if (failsInsideSend)
            fail(sent.size() - 1, ExchangeFailure::NotSent);
        return sent.back().id;
    }
    void cancel(ExchangeId id) override
    {
        sent[id - 1].isOpen = false;
        ++cancelled;
    }
    void warmUp(const std::shared_ptr<Upstream> &) override {}

    void reply(std::size_t index, UpstreamReply reply)
    {
        sent[index].isOpen = false;
        sent[index].listener->onReply(sent[index].id, std::move(reply));
    }
    void fail(std::size_t index, ExchangeFailure failure)
    {
        sent[index].isOpen = false;
        sent[index].listener->onFailure(sent[index].id, failure);
    }
    /// Instance to which the exchange at @p index was sent.
    const std::string &instance(std::size_t index) const
    {
        return sent[index].upstream->instanceId();
    }

    std::vector<Sent> sent;
    /// Instances that accept no further exchange.
    std::set<std::string> full;
    /// Whether each exchange fails before send() returns, against the contract of ExchangeListener.
    bool failsInsideSend = false;
    int cancelled = 0;
};

inline UpstreamReply goodReply(std::string body = "0123456789abcdef",
                               std::string signature = "signed")
{
    UpstreamReply reply;
    reply.status = 200;
    reply.body = std::move(body);
    reply.signature = std::move(signature);
    return reply;
}

inline UpstreamReply notRunReply()
{
    UpstreamReply reply;
    reply.status = 503;
    reply.isNotRun = true;
    return reply;
}

/// Refusal of a searcher that asks for no further request for @p pause.
inline UpstreamReply pauseReply(Duration pause)
{
    UpstreamReply reply = notRunReply();
    reply.pause = pause;
    return reply;
}

/// Answer of a searcher that takes @p limit requests per second from all daemons.
inline UpstreamReply limitedReply(double limit)
{
    UpstreamReply reply = goodReply();
    reply.rateLimit = limit;
    return reply;
}

/// Answer of a searcher that is about to stop.
inline UpstreamReply leavingReply()
{
    UpstreamReply reply = goodReply();
    reply.isLeaving = true;
    return reply;
}

inline UpstreamReply otherInstanceReply()
{
    UpstreamReply reply = notRunReply();
    reply.status = 421;
    reply.isOtherInstance = true;
    return reply;
}

inline UpstreamReply errorReply()
{
    UpstreamReply reply = goodReply("broken");
    reply.status = 500;
    return reply;
}

inline SearcherRecord searcher(const std::string &service, const std::string &id,
                               const std::string &zone = "z0")
{
    SearcherRecord record;
    record.instanceId = id;
    record.service = service;
    record.address = "127.0.0.1:" + std::to_string(1000 + std::hash<std::string>{}(id) % 60000);
    record.zone = zone;
    record.slots = 2;
    return record;
}

inline Route plainRoute(RouteKind kind = RouteKind::Idempotent, std::uint32_t attempts = 2)
{
    Route route;
    route.name = "plain";
    route.host = "shop.example";
    route.pathPrefix = "/plain/";
    route.kind = kind;
    route.attempts = attempts;
    route.timeout = std::chrono::milliseconds(1000);
    route.latencyObjective = std::chrono::milliseconds(200);
    route.targets = {{"desk", 1}};
    return route;
}

inline Route scatterRoute(std::uint32_t shards, double minShare)
{
    Route route = plainRoute();
    route.name = "scatter";
    route.pathPrefix = "/scatter/";
    route.targets.clear();
    for (std::uint32_t i = 0; i < shards; ++i)
        route.shards.push_back("shard" + std::to_string(i));
    route.minShardShare = minShare;
    route.resultLimit = 3;
    return route;
}

/// The gateway of one worker with a fake transport and a manual clock. It knows no searchers until
/// the test adds them.
struct GatewayFixture
{
    static constexpr Duration SearcherDrain = std::chrono::seconds(3);

    explicit GatewayFixture(std::vector<Route> routes, RetryAllowance retries = {0.2, 100})
        : builder(timers, views, retries, SearcherDrain)
    {
        RouteTable table;
        table.version = 1;
        for (const Route &route : routes) {
            for (const RouteTarget &target : route.targets)
                table.services[target.service] = {target.service, 26, 0};
            for (const std::string &shard : route.shards)
                table.services[shard] = {shard, 26, 0};
        }
        table.routes = std::move(routes);
        builder.setEntries({{"127.0.0.1:1", "z0", 1}}, 1, {1, true});
        builder.onRoutes(table);
        routeTable = std::move(table);
    }

    /// Adds a searcher, or replaces the record of one, and publishes the change. Fills the budgets
    /// for hedges and retries, which are empty when a daemon starts.
    void add(const SearcherRecord &record)
    {
        builder.onSearcher(record);
        timers.advance(Duration::zero());
        for (const auto &[name, service] : views.pin()->services)
            service.budget->addFirstAttempts(1000);
    }
    /// Passes a GET request of @p target to the gateway; its answer is appended to `answers`.
    /// @param age time since the first byte of the request arrived
    /// @return the result of Gateway::handle()
    std::uint64_t request(const std::string &target,
                          std::optional<Duration> callerTimeout = std::nullopt,
                          bool isFirstOnConnection = false, Duration age = Duration::zero())
    {
        auto forward = std::make_shared<ForwardRequest>();
        forward->id = "r1";
        forward->method = "GET";
        forward->target = target;
        return gateway.handle(
                {"shop.example", forward, timers.now() - age, isFirstOnConnection, callerTimeout},
                [this](RoutedAnswer answer) { answers.push_back(std::move(answer)); });
    }
    void advance(Duration step) { timers.advance(step); }

    ManualTimerService timers;
    ServingViewPublisher views;
    ServingViewBuilder builder;
    RouteTable routeTable;
    FakeTransport transport;
    UpstreamChoice choice{"z0", 7};
    CallCounts counts;
    Stats stats;
    Gateway gateway{{timers, transport, choice, counts}, views, stats, DefaultCallerRoundTrip, 7};
    std::vector<RoutedAnswer> answers;
};

} // namespace geraniumcart::test
