#pragma once

#include <geraniumcart/answer_counters.h>
#include <geraniumcart/hedging.h>
#include <geraniumcart/rcu_publisher.h>
#include <geraniumcart/route_table.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/upstream.h>
#include <geraniumcart/version_split.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumcart {

/// Number of daemons that may join or restart before the other daemons learn of them. Limits that
/// all daemons share are divided as if these daemons were members already.
inline constexpr std::uint32_t JoiningDaemons = 3;

/// How the requests of a service are divided between one back-end version and all other versions.
struct VersionDivision
{
    /// Empty while all versions are treated alike.
    std::string version;
    /// Share of the requests that go to version, 0 to 1. At 0 and 1 one side gets no requests, even
    /// if the other side has no searchers.
    double share = 0;
    /// Counters for the answers of each side; null if no decision depends on them.
    std::shared_ptr<VersionCounters> versionCounters;
    std::shared_ptr<VersionCounters> otherCounters;

    bool isDivided() const { return !version.empty(); }
    /// @return true if searchers with back-end version @p of may get requests
    bool hasShare(const std::string &of) const
    {
        return !isDivided() || (of == version ? share > 0 : share < 1);
    }
    bool operator==(const VersionDivision &) const = default;
};
using VersionDivisions = std::map<std::string, VersionDivision, std::less<>>;

/// How many daemons share what the fleet as a whole may send: the fixed part of a RetryAllowance,
/// and the requests that a searcher with a rate limit takes.
struct AllowancePart
{
    /// Number of daemons that callers are sent to, those included that are left out for a moment
    /// because they are busy.
    std::uint32_t daemons = 1;
    /// Whether this daemon is one of them.
    bool hasPart = false;
    /// Position of this daemon among them, the same on every daemon that sees the same members.
    std::uint32_t index = 0;
    bool operator==(const AllowancePart &) const = default;
};

/// The searchers of one service that may get new requests.
struct ServiceUpstreams
{
    ServiceProfile profile;
    /// Limits the rate of requests beyond first attempts; all views share the same object.
    std::shared_ptr<AttemptBudget> budget;
    std::vector<std::shared_ptr<Upstream>> upstreams;
    VersionDivision division;
};

/// State of the fleet at one point in time that requests are routed by. Immutable once published.
struct ServingView
{
    /// Null before the first configuration is known.
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, ServiceUpstreams, std::less<>> services;
    /// Hedging policies by route name; all views share the same objects.
    std::map<std::string, std::shared_ptr<HedgingPolicy>, std::less<>> hedging;
    /// Part of this daemon in what the fleet as a whole may send.
    AllowancePart part;
    /// Number of searchers in the view that the routes in force use.
    std::size_t routedSearchers = 0;
    /// Daemons that callers may connect to.
    std::vector<EntryAddress> entries;
    /// True during a planned stop: answers ask callers to connect to another daemon.
    bool isLeaving = false;
    /// When open requests will be ended, once a planned stop has begun.
    std::optional<TimePoint> endsAt;
    TimePoint publishedAt{};

    /// Time for which a searcher may still get requests after it has announced in an answer that it
    /// is about to stop.
    Duration leavingUse{};

    /// Number of daemons that may send to the same searchers, this one included. Limits that must
    /// hold whichever daemons callers use are divided by it.
    std::uint32_t senders = 1;
    /// Number of daemons that callers are sent to, at least 1. Connections are divided among them.
    std::uint32_t listed() const
    {
        return std::max(1U, static_cast<std::uint32_t>(entries.size()));
    }
    /// @return the upstreams of @p service, or nullptr if it is unknown
    const ServiceUpstreams *find(std::string_view service) const
    {
        const auto found = services.find(service);
        return found == services.end() ? nullptr : &found->second;
    }
};

using ServingViewPin = RcuPin<ServingView>;
using ServingViewPublisher = RcuPublisher<ServingView>;

/// Receives changes that operators and searchers make, independent of where they are stored. Called
/// on the control thread.
class FleetListener
{
public:
    virtual ~FleetListener() = default;
    /// Replaces the routing configuration, unless its version is not newer than the known one.
    virtual void onRoutes(RouteTable routes) = 0;
    /// Replaces the known state of the searcher with this instance id.
    virtual void onSearcher(const SearcherRecord &record) = 0;
    /// Called after the entry of a searcher was deleted or has expired.
    /// @param age longest time since then; zero if the entry may have expired in an outage of the
    /// store
    virtual void onSearcherRemoved(const std::string &instanceId, Duration age) = 0;
    /// Takes an availability zone out of service.
    virtual void onZoneOut(const std::string &zone) = 0;
    /// Returns an availability zone to service.
    virtual void onZoneRestored(const std::string &zone) = 0;
};

/// Part of RetryAllowance::extra that daemons divide among themselves. The rest covers daemons that
/// do not know of each other.
inline constexpr double PlannedExtra = 0.85;
/// Part of RetryAllowance::share that a daemon uses. It follows from the requests of each daemon
/// alone, so that only differences in when requests are counted have to be covered.
inline constexpr double PlannedRetryShare = 0.95;

/// Limit on the requests that all daemons together may send beyond the first attempt of each
/// request, for each service.
struct RetryAllowance
{
    /// Allowed requests beyond first attempts, as a share of the service's requests.
    double share = 0.2;
    /// Further requests beyond that share in one window.
    double extra = 0;
    Duration window = std::chrono::seconds(10);
};

/// Keeps the latest state of the fleet and publishes a new view after each change that affects
/// requests. Used on the control thread only.
class ServingViewBuilder final : public FleetListener
{
public:
    /// @param searcherDrain time for which a searcher still serves after it has announced that it
    /// is about to stop
    /// @param isFirstStart true if no daemon has run before, so that nothing of the retry allowance
    /// has been used
    ServingViewBuilder(TimerService &timers, ServingViewPublisher &publisher,
                       const RetryAllowance &retries, Duration searcherDrain,
                       bool isFirstStart = false)
        : m_timers(timers)
        , m_publisher(publisher)
        , m_retries(retries)
        , m_searcherDrain(searcherDrain)
        , m_isFirstStart(isFirstStart)
    {
    }

    void onRoutes(RouteTable routes) override;
    void onSearcher(const SearcherRecord &record) override;
    void onSearcherRemoved(const std::string &instanceId, Duration age) override;
    void onZoneOut(const std::string &zone) override;
    void onZoneRestored(const std::string &zone) override;

    /// @param entries daemons that callers may connect to
    /// @param senders number of daemons that may send to the same searchers, this one included
    /// @param retries part of this daemon in the allowance for further attempts
    void setEntries(std::vector<EntryAddress> entries, std::uint32_t senders,
                    const AllowancePart &retries);
    /// Marks this daemon as leaving in all later views, for a planned stop.
    /// @param endsAt when open requests will be ended
    void setLeaving(TimePoint endsAt);
    /// @param divisions by service; services without one treat all versions alike
    void setDivisions(VersionDivisions divisions);
    /// @return true if @p service has a searcher of this back-end version that is not draining
    bool hasVersion(const std::string &service, const std::string &version) const;
    /// Sets a function that is called after each publication, on the control thread.
    void setObserver(std::function<void()> observer) { m_observer = std::move(observer); }

    bool hasRoutes() const { return m_routes != nullptr; }
    bool hasSearchers() const { return m_hasSearchers; }

private:
    struct Entry
    {
        SearcherRecord record;
        std::shared_ptr<Upstream> upstream;
        /// Timer that removes the entry; 0 while the store lists it.
        TimerId removal = 0;
    };

    void scheduleRemoval(const std::string &instanceId, Entry &entry, Duration delay);
    /// Removes a searcher from the view. The announcement of its stop is kept for a while, so that
    /// it still applies if the entry is written again.
    void remove(const std::string &instanceId);
    /// @return the state of the searcher of @p record that was removed while it was about to stop;
    /// a new state if there is none
    std::shared_ptr<Upstream> makeUpstream(const SearcherRecord &record);
    /// @return true if the searcher may get requests, whichever routes are in force
    bool isInUse(const SearcherRecord &record) const;
    /// Records that a searcher may have become cold while it was out of use.
    void suspectCold(Upstream &upstream);
    /// Publishes a view after the current turn of the event loop.
    void schedulePublish();
    void publish();

    TimerService &m_timers;
    ServingViewPublisher &m_publisher;
    const RetryAllowance m_retries;
    const Duration m_searcherDrain;
    const bool m_isFirstStart;
    std::function<void()> m_observer;
    std::shared_ptr<const RouteTable> m_routes;
    /// Services that m_routes names as a target or a shard.
    std::set<std::string, std::less<>> m_routedServices;
    std::map<std::string, Entry> m_searchers;
    /// Searchers that were removed while they were about to stop, by instance id.
    std::map<std::string, Entry> m_removedLeaving;
    std::map<std::string, std::shared_ptr<AttemptBudget>, std::less<>> m_budgets;
    std::map<std::string, std::shared_ptr<HedgingPolicy>, std::less<>> m_hedging;
    std::set<std::string> m_zonesOut;
    VersionDivisions m_divisions;
    std::vector<EntryAddress> m_entries;
    std::uint32_t m_senders = 1;
    bool m_hasSearchers = false;
    AllowancePart m_allowancePart;
    bool m_isLeaving = false;
    std::optional<TimePoint> m_endsAt;
    bool m_isPublishDue = false;
};

} // namespace geraniumcart
