#pragma once

#include "store_source.h"

#include <geraniumcart/fleet_relay.h>
#include <geraniumcart/fleet_rollouts.h>
#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/membership.h>
#include <geraniumcart/serving_view.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace geraniumcart::test {

/// The platform's store in memory, on a manual clock: lists, watches that wait, conditional writes
/// of a status, and how it treats each daemon.
class SimulatedStore
{
public:
    /// How the store treats the calls of one daemon.
    enum class Treatment {
        Served,
        /// Calls get no answer. A watch that was waiting is never answered.
        Silent,
        /// Calls are answered with 503, and a watch that was waiting is never answered.
        Refused
    };

    explicit SimulatedStore(ManualTimerService &timers)
        : m_timers(timers)
    {
    }

    void put(const std::string &kind, const std::string &name, boost::json::object spec)
    {
        Object next = m_objects[kind][name];
        next.spec = std::move(spec);
        next.isDeleted = false;
        change(kind, name, std::move(next));
    }
    void remove(const std::string &kind, const std::string &name)
    {
        Object next = m_objects[kind][name];
        next.isDeleted = true;
        change(kind, name, std::move(next));
    }
    void setTreatment(const std::string &daemon, Treatment treatment)
    {
        m_treatments[daemon] = treatment;
        if (treatment != Treatment::Served)
            std::erase_if(m_waiting, [&](const auto &call) { return call->daemon == daemon; });
    }
    /// Lists that may be stale lack the changes of this time but carry the current revision.
    void setStaleness(Duration staleness) { m_staleness = staleness; }
    std::string state(const std::string &kind, const std::string &name)
    {
        const boost::json::value &status = m_objects[kind][name].status;
        return status.is_object() ? std::string(status.at("state").as_string()) : std::string();
    }
    std::uint64_t calls() const { return m_calls; }
    std::unique_ptr<HttpRequestSender> connect(const std::string &daemon)
    {
        return std::make_unique<Channel>(*this, daemon);
    }

private:
    static constexpr Duration OneWay = std::chrono::milliseconds(2);

    struct Call
    {
        std::string daemon;
        std::string target;
        std::string body;
        std::uint64_t revision = 0;
        std::string kind;
        HttpRequestSender::Callback callback;
    };
    using CallPointer = std::shared_ptr<Call>;
    struct Object
    {
        std::uint64_t revision = 0;
        bool isDeleted = false;
        boost::json::object spec;
        boost::json::value status;
        TimePoint changedAt{};
        /// State before the last change; empty before the second.
        std::shared_ptr<const Object> previous;
    };
    struct Channel final : HttpRequestSender
    {
        Channel(SimulatedStore &owner, std::string name)
            : store(owner)
            , daemon(std::move(name))
        {
        }
        void send(HttpRequest request, Duration limit, Callback callback) override
        {
            const auto call = std::make_shared<Call>();
            call->daemon = daemon;
            call->target = std::string(request.target());
            call->body = request.body();
            call->callback = [weak = std::weak_ptr(alive), callback = std::move(callback)](
                                     HttpFailure failure, HttpResponse response) {
                if (!weak.expired())
                    callback(failure, std::move(response));
            };
            ++store.m_calls;
            store.m_timers.schedule(limit, [call] {
                if (const auto expired = std::exchange(call->callback, nullptr))
                    expired(HttpFailure::ResponseLost, {});
            });
            store.m_timers.schedule(OneWay, [this, call] { store.receive(call); });
        }

        SimulatedStore &store;
        const std::string daemon;
        const std::shared_ptr<int> alive = std::make_shared<int>();
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t start = at + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }
    static boost::json::object encode(const std::string &name, const Object &object)
    {
        return {{"meta", {{"name", name}, {"revision", object.revision}}},
                {"spec", object.spec},
                {"status", object.status}};
    }
    Treatment treatmentOf(const std::string &daemon) const
    {
        const auto found = m_treatments.find(daemon);
        return found == m_treatments.end() ? Treatment::Served : found->second;
    }

    void change(const std::string &kind, const std::string &name, Object next)
    {
        Object &object = m_objects[kind][name];
        object.previous = nullptr;
        next.previous = std::make_shared<const Object>(std::move(object));
        next.revision = ++m_revision;
        next.changedAt = m_timers.now();
        object = std::move(next);
        const auto waiting = std::exchange(m_waiting, {});
        for (const CallPointer &call : waiting) {
            if (call->kind == kind)
                answerWatch(call);
            else
                m_waiting.push_back(call);
        }
    }
    void receive(const CallPointer &call)
    {
        if (treatmentOf(call->daemon) == Treatment::Silent)
            return;
        if (treatmentOf(call->daemon) == Treatment::Refused) {
            reply(call, 503, {});
            return;
        }
        const std::size_t start = call->target.find("/objects/") + 9;
        call->kind = call->target.substr(start, call->target.find_first_of("?/", start) - start);
        if (!call->body.empty()) {
            recordStatus(call, start);
            return;
        }
        const std::string watch = parameter(call->target, "watch");
        if (watch.empty()) {
            list(call, !parameter(call->target, "stale_ok").empty());
            return;
        }
        call->revision = std::strtoull(watch.c_str(), nullptr, 10);
        if (answerWatch(call))
            return;
        m_waiting.push_back(call);
        const std::chrono::milliseconds wait(
                std::strtoll(parameter(call->target, "wait_ms").c_str(), nullptr, 10));
        m_timers.schedule(wait, [this, call] {
            if (std::erase(m_waiting, call) > 0)
                reply(call, 200, {{"events", boost::json::array()}, {"current_rev", m_revision}});
        });
    }
    void list(const CallPointer &call, bool isStale)
    {
        boost::json::array items;
        for (const auto &[name, object] : m_objects[call->kind]) {
            const bool hasChanged = isStale && m_timers.now() - object.changedAt < m_staleness;
            const Object &shown = hasChanged && object.previous ? *object.previous : object;
            if (!shown.isDeleted && shown.revision > 0)
                items.push_back(encode(name, shown));
        }
        reply(call, 200,
              {{"items", std::move(items)}, {"has_more", false}, {"current_rev", m_revision}});
    }
    /// @return false if there is no change to answer with
    bool answerWatch(const CallPointer &call)
    {
        boost::json::array events;
        for (const auto &[name, object] : m_objects[call->kind])
            if (object.revision > call->revision)
                events.push_back({{"deleted", object.isDeleted}, {"object", encode(name, object)}});
        if (events.empty())
            return false;
        reply(call, 200, {{"events", std::move(events)}, {"current_rev", m_revision}});
        return true;
    }
    void recordStatus(const CallPointer &call, std::size_t kindStart)
    {
        const std::size_t slash = call->target.find('/', kindStart) + 1;
        const std::string name = call->target.substr(slash, call->target.find('/', slash) - slash);
        Object &object = m_objects[call->kind][name];
        const boost::json::value record = boost::json::parse(call->body);
        if (record.at("meta").at("revision").to_number<std::uint64_t>() != object.revision) {
            reply(call, 409, encode(name, object));
            return;
        }
        const boost::json::value &status = record.at("status");
        if (status != object.status) {
            Object next = object;
            next.status = status;
            change(call->kind, name, std::move(next));
        }
        reply(call, 200, encode(name, object));
    }
    void reply(const CallPointer &call, int status, boost::json::object body)
    {
        m_timers.schedule(OneWay, [this, call, status, text = boost::json::serialize(body)] {
            if (treatmentOf(call->daemon) == Treatment::Silent)
                return;
            HttpResponse response(static_cast<boost::beast::http::status>(status), 11);
            response.body() = text;
            if (const auto callback = std::exchange(call->callback, nullptr))
                callback(HttpFailure::None, std::move(response));
        });
    }

    ManualTimerService &m_timers;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::map<std::string, Treatment> m_treatments;
    std::deque<CallPointer> m_waiting;
    Duration m_staleness{};
    std::uint64_t m_revision = 10;
    std::uint64_t m_calls = 0;
};

/// The control parts of all daemons of a deployment, connected as in GatewayDaemon, on one manual
/// clock and with one SimulatedStore.
class SimulatedFleet
{
public:
    struct Node final : PeerNetwork
    {
        Node(SimulatedFleet &owner, int index, std::uint64_t incarnation)
            : fleet(owner)
            , name(nameOf(index))
            , builder(owner.timers, views, {0.2, 100}, std::chrono::seconds(3))
            , rollouts(name, incarnation, owner.timers, builder,
                       {[this](const RolloutOrder &order) { source.recordRollout(order); },
                        [this] { return relay.isWatching(); }})
            , membership(membershipConfig(index, incarnation), owner.timers, *this, rollouts,
                         [this] { scheduleMembers(); })
            , relay(name, owner.timers, *this,
                    {[this](const StoredObject &object, Duration age) {
                         source.apply(object, age);
                     },
                     [this](bool isWatching, std::uint32_t substitutes) {
                         source.setWatching(isWatching, substitutes);
                     }})
            , source(owner.store.connect(name), owner.timers, relay, builder, rollouts, calls)
        {
            relay.start();
            membership.start();
        }
        void send(const std::string &peer, PeerMessage message) override
        {
            if (!isRetired)
                fleet.deliver(name, peer, std::move(message));
        }
        void reconnect(const std::string &peer) override { fleet.reconnect(name, peer); }
        std::uint64_t routesVersion() const
        {
            const ServingViewPin view = views.pin();
            return view->routes ? view->routes->version : 0;
        }

        SimulatedFleet &fleet;
        const std::string name;
        /// Set once kill() or restart() has ended this process.
        bool isRetired = false;
        ServingViewPublisher views;
        ServingViewBuilder builder;
        StoreCallCounts calls;
        FleetRollouts rollouts;
        Membership membership;
        FleetRelay relay;
        platform::StoreSource source;

    private:
        static MembershipConfig membershipConfig(int index, std::uint64_t incarnation)
        {
            MembershipConfig config;
            config.self = {nameOf(index),
                           "z" + std::to_string(index % 4),
                           "",
                           nameOf(index),
                           incarnation,
                           MemberState::Alive,
                           0};
            config.seeds = {nameOf(0), nameOf(1), nameOf(2)};
            config.probeInterval = std::chrono::milliseconds(400);
            config.ackTimeout = std::chrono::milliseconds(300);
            config.probeTimeout = std::chrono::milliseconds(900);
            config.suspicionTimeout = std::chrono::milliseconds(1200);
            config.seed = static_cast<std::uint64_t>(index) + 1;
            return config;
        }
        void scheduleMembers()
        {
            if (std::exchange(m_isMembersUpdateScheduled, true))
                return;
            fleet.timers.schedule(std::chrono::milliseconds(50), [this] {
                m_isMembersUpdateScheduled = false;
                relay.setMembers(membership.members());
            });
        }

        bool m_isMembersUpdateScheduled = false;
    };

    explicit SimulatedFleet(int size)
        : store(timers)
    {
        for (int i = 0; i < size; ++i)
            start(i);
    }

    static std::string nameOf(int index) { return "d" + std::to_string(index); }
    Node &node(const std::string &name) { return *m_nodes.at(name); }
    const std::map<std::string, std::unique_ptr<Node>> &nodes() const { return m_nodes; }
    std::vector<std::string> watchers() const
    {
        return pickWatchers(m_nodes.begin()->second->membership.members());
    }
    /// Replaces a daemon by a new process. The old one no longer receives anything.
    /// @param clockStep difference between the clocks of the host and of the fleet
    void restart(int index, Duration clockStep = {})
    {
        kill(nameOf(index));
        start(index, clockStep);
    }
    /// Ends a daemon without notice.
    void kill(const std::string &name)
    {
        std::unique_ptr<Node> &place = m_nodes.at(name);
        place->isRetired = true;
        store.setTreatment(name, SimulatedStore::Treatment::Served);
        m_retired.push_back(std::move(place));
        m_nodes.erase(name);
    }
    void start(int index, Duration clockStep = {})
    {
        const auto wall = timers.wallNow() + clockStep;
        const auto incarnation =
                std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch());
        m_nodes[nameOf(index)] = std::make_unique<Node>(
                *this, index, static_cast<std::uint64_t>(incarnation.count()));
    }
    /// Drops all messages between two daemons until one of them opens a new connection.
    void silence(const std::string &a, const std::string &b) { m_silent.insert(std::minmax(a, b)); }
    std::size_t silentConnections() const { return m_silent.size(); }
    /// Drops the messages from @p from to @p to.
    void cut(const std::string &from, const std::string &to) { m_cutLinks.insert({from, to}); }
    void advance(Duration step) { timers.advance(step); }

    ManualTimerService timers;
    SimulatedStore store;

private:
    void deliver(const std::string &from, const std::string &to, PeerMessage message)
    {
        if (m_cutLinks.contains({from, to}) || m_silent.contains(std::minmax(from, to)))
            return;
        timers.schedule(std::chrono::milliseconds(1),
                        [this, from, to, message = std::move(message)] {
                            const auto node = m_nodes.find(to);
                            if (node != m_nodes.end() && from != to)
                                handle(*node->second, from, message);
                        });
    }
    void reconnect(const std::string &from, const std::string &to)
    {
        m_silent.erase(std::minmax(from, to));
    }
    static void handle(Node &node, const std::string &from, const PeerMessage &message)
    {
        if (const auto *ping = std::get_if<PeerPing>(&message))
            node.membership.onPing(from, *ping);
        else if (const auto *ack = std::get_if<PeerAck>(&message))
            node.membership.onAck(from, *ack);
        else if (const auto *request = std::get_if<PeerPingRequest>(&message))
            node.membership.onPingRequest(from, *request);
        else if (const auto *heartbeat = std::get_if<PeerStateHeartbeat>(&message))
            node.relay.onStateHeartbeat(from, *heartbeat);
        else if (const auto *pull = std::get_if<PeerObjectPull>(&message))
            node.relay.onPull(from, *pull);
        else if (const auto *push = std::get_if<PeerObjectPush>(&message))
            node.relay.onPush(from, *push);
    }

    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_retired;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::set<std::pair<std::string, std::string>> m_silent;
};

} // namespace geraniumcart::test
