// The cases of review/ that are scripts. Usage: review-cases CASE RECORD, in the repository's root.
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#include "standins.hh"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <memory>

using namespace standins;

namespace {

enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

constexpr const char *Host = "shop.example";
constexpr Milliseconds StableWindow{4000};
constexpr Milliseconds ConnectTimeout{1000};

/// What a caller got for one request.
struct Outcome
{
    std::string id;
    TimePoint sentAt{};
    ReadResult result = ReadResult::Closed;
    Message answer;

    std::string text() const
    {
        if (result != ReadResult::Message)
            return toString(result);
        return std::to_string(answer.status()) + ", Server-Stamp " +
               answer.field("Server-Stamp").value_or("none");
    }
};

std::string requestText(const std::string &method, const std::string &target, const std::string &id,
                        Duration deadline, const std::string &body = {})
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + Host +
                       "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " +
                       std::to_string(std::chrono::duration_cast<Milliseconds>(deadline).count()) +
                       "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// Sends one request on a connection of its own.
Outcome call(const Address &front, const std::string &method, const std::string &target,
             Duration deadline, const std::string &body = {})
{
    Outcome outcome;
    outcome.id = newRequestId();
    outcome.sentAt = Clock::now();
    const auto stream = connectTo(front, ConnectTimeout);
    if (stream && stream->write(requestText(method, target, outcome.id, deadline, body)))
        outcome.result = stream->readAnswer(outcome.answer, method == "HEAD",
                                            outcome.sentAt + deadline + Milliseconds(200));
    return outcome;
}

/// Sends requests at a constant rate to the gateways in turn, each on a thread and a connection of
/// its own.
class Callers
{
public:
    Callers(const Gateways &gateways, std::string method, std::string target, Duration deadline,
            std::string body = {})
        : m_gateways(gateways)
        , m_method(std::move(method))
        , m_target(std::move(target))
        , m_deadline(deadline)
        , m_body(std::move(body))
    {
    }
    ~Callers() { stop(); }

    void start(double perSecond)
    {
        m_thread = std::thread([this, perSecond] {
            const auto interval = std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(1 / perSecond));
            TimePoint next = Clock::now();
            for (std::size_t i = 0; !m_isStopped; ++i) {
                const Address front = m_gateways.machines()[i % m_gateways.machines().size()].front;
                m_calls.emplace_back([this, front, i] {
                    Outcome outcome =
                            call(front, m_method, m_target + std::to_string(i), m_deadline, m_body);
                    const std::lock_guard lock(m_mutex);
                    m_outcomes.push_back(std::move(outcome));
                });
                next += interval;
                sleepUntil(next);
            }
        });
    }
    /// Waits for the open requests.
    void stop()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
        for (std::thread &thread : m_calls)
            thread.join();
        m_calls.clear();
    }
    const std::vector<Outcome> &outcomes() const { return m_outcomes; }
    /// @return what the caller of this request got; null if there is no such request
    const Outcome *find(const std::string &id) const
    {
        const auto found = std::ranges::find(m_outcomes, id, &Outcome::id);
        return found == m_outcomes.end() ? nullptr : &*found;
    }

private:
    const Gateways &m_gateways;
    const std::string m_method;
    const std::string m_target;
    const Duration m_deadline;
    const std::string m_body;
    std::atomic<bool> m_isStopped{false};
    std::thread m_thread;
    std::vector<std::thread> m_calls;
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
};

struct RouteOptions
{
    std::string type = "idempotent";
    int timeoutMs = 6000;
    int objectiveMs = 600;
    int maxConnections = 26;
    double warmUpPerSecond = 0;
};

std::string configuration(const RouteOptions &options)
{
    return format(R"({"config_version":7,"routes":[{"name":"r-loans","host":"%s",)"
                  R"("path_prefix":"/loans/","route_type":"%s","timeout_ms":%d,)"
                  R"("target_latency_ms":%d,"priority":1,"service":"desk","attempts":2}],)"
                  R"("services":[{"name":"desk","health_path":"/health","max_connections":%d,)"
                  R"("protocol":"h1","tls_enabled":false,"warmup_s":3.0,"warmup_per_s":%.1f}],)"
                  R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
                  R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})",
                  Host, options.type.c_str(), options.timeoutMs, options.objectiveMs,
                  options.maxConnections, options.warmUpPerSecond);
}

/// Two routes: `/loans/` to the service "desk", and, from version 9 on, `/orders/` to "board".
std::string configurationWithOrders(int version)
{
    constexpr const char *Service = R"({"name":"%s","health_path":"/health","max_connections":26,)"
                                    R"("protocol":"h1","tls_enabled":false,"warmup_s":3.0,)"
                                    R"("warmup_per_s":0.0})";
    constexpr const char *Route = R"({"name":"%s","host":"%s","path_prefix":"%s",)"
                                  R"("route_type":"idempotent","timeout_ms":600,)"
                                  R"("target_latency_ms":60,"priority":1,"service":"%s",)"
                                  R"("attempts":2})";
    std::string routes = format(Route, "r-loans", Host, "/loans/", "desk");
    if (version > 7)
        routes += ',' + format(Route, "r-orders", Host, "/orders/", "board");
    return "{\"config_version\":" + std::to_string(version) + ",\"routes\":[" + routes +
           "],\"services\":[" + format(Service, "desk") + ',' + format(Service, "board") +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// Zones of the machines that run the gateway.
const std::vector<std::string> SmallFleet{"cairo-one", "giza-two", "alex-three"};
const std::vector<std::string> LibraryFleet{"cairo-one",  "cairo-one",  "giza-two",  "giza-two",
                                            "alex-three", "alex-three", "tanta-four"};

/// The parts of a small deployment: a store, gateways and searchers.
struct Deployment
{
    explicit Deployment(Record &log, const std::vector<std::string> &zones = SmallFleet)
        : record(log)
        , store(addresses.of(1, 8102), log)
        , gateways(addresses, zones, addresses.of(1, 8102), log)
    {
    }
    ~Deployment()
    {
        for (std::size_t i = 0; i < gateways.machines().size(); ++i)
            gateways.kill(i);
        searchers.clear();
        store.stop();
    }

    void startGateways(const RouteOptions &options) { startGateways(configuration(options)); }

    void startGateways(const std::string &configured)
    {
        store.put("config", "main", configured);
        for (std::size_t i = 0; i < gateways.machines().size(); ++i)
            gateways.start(i, true);
        gateways.awaitReady(Milliseconds(20000));
    }

    Searcher &addSearcher(const std::string &zone, int slots, Duration work,
                          const std::string &service = "desk", const std::string &version = "v1")
    {
        const int number = ++m_lastSearcher;
        SearcherOptions options;
        options.id = format("i-%04x", 0x7f00 + number);
        options.service = service;
        options.version = version;
        options.zone = zone;
        options.address = addresses.of(100 + number, 8080);
        options.slots = slots;
        options.work = work;
        searchers.push_back(std::make_unique<Searcher>(options, store, arrivals, record));
        record.line("searcher " + options.id + ": starts in " + zone);
        return *searchers.back();
    }

    Record &record;
    Addresses addresses;
    Arrivals arrivals;
    Store store;
    Gateways gateways;
    std::vector<std::unique_ptr<Searcher>> searchers;

private:
    int m_lastSearcher = 0;
};

/// Requests that take longer to arrive than the route's timeout make a gateway refuse nearly all
/// requests of that service, for as long as the gateway runs.
ExitCode slowSenders(Record &record)
{
    constexpr double PerSecond = 30;
    constexpr double SlowPerSecond = 6;
    /// Below `header_timeout_ms`, above the route's `timeout_ms`.
    constexpr Milliseconds SendTime{800};
    constexpr Milliseconds SlowTime{15000};
    constexpr Milliseconds QuietTime{10000};
    constexpr Milliseconds JudgedTime{6000};
    constexpr std::size_t FewestJudged = 20;
    constexpr double LeastShare = 0.25;

    Deployment deployment(record);
    for (const char *service : {"desk", "board"})
        for (const char *zone : {"cairo-one", "giza-two"})
            deployment.addSearcher(zone, 2, Milliseconds(20), service);
    deployment.startGateways(configurationWithOrders(7));
    deployment.store.put("config", "main", configurationWithOrders(9));
    record.line("configuration 9 adds the route /orders/");
    sleepUntil(Clock::now() + StableWindow + Milliseconds(1000));
    Callers loans(deployment.gateways, "GET", "/loans/", Milliseconds(600));
    Callers orders(deployment.gateways, "GET", "/orders/", Milliseconds(600));
    loans.start(PerSecond);
    orders.start(PerSecond);

    std::vector<std::thread> slow;
    std::mutex mutex;
    std::map<std::string, int> slowAnswers;
    const TimePoint slowUntil = Clock::now() + SlowTime;
    record.line("some callers of /orders/ send their requests slowly, if the disruption is played");
    for (std::size_t i = 0; Clock::now() < slowUntil; ++i) {
        const Address front =
                deployment.gateways.machines()[i % deployment.gateways.machines().size()].front;
        slow.emplace_back([&, front] {
            const std::string text = requestText("POST", "/orders/slow", newRequestId(),
                                                 Milliseconds(3000), "order");
            Message answer;
            ReadResult result = ReadResult::Closed;
            const auto stream = connectTo(front, ConnectTimeout);
            if (stream && stream->write(text.substr(0, text.size() - 2))) {
                if (hasTrouble())
                    sleepUntil(Clock::now() + SendTime);
                stream->write(text.substr(text.size() - 2));
                result = stream->readAnswer(answer, false, Clock::now() + Milliseconds(3000));
            }
            const std::lock_guard lock(mutex);
            ++slowAnswers[result == ReadResult::Message ? std::to_string(answer.status())
                                                        : toString(result)];
        });
        sleepUntil(Clock::now() + std::chrono::duration_cast<Duration>(
                                          std::chrono::duration<double>(1 / SlowPerSecond)));
    }
    for (std::thread &thread : slow)
        thread.join();
    for (const auto &[answer, count] : slowAnswers)
        record.line(format("the %s callers got %s: %d", hasTrouble() ? "slow" : "other",
                           answer.c_str(), count));
    sleepUntil(Clock::now() + QuietTime);
    const TimePoint judgedFrom = Clock::now();
    sleepUntil(judgedFrom + JudgedTime);
    loans.stop();
    orders.stop();

    const auto servedShare = [&](const Callers &callers, const char *name, std::size_t &count) {
        std::size_t served = 0;
        count = 0;
        for (const Outcome &outcome : callers.outcomes()) {
            if (outcome.sentAt < judgedFrom)
                continue;
            ++count;
            served += outcome.result == ReadResult::Message && outcome.answer.status() == 200;
        }
        record.line(format("%s, from %.1f s to %.1f s: %zu of %zu requests were served", name,
                           record.seconds(judgedFrom), record.seconds(judgedFrom + JudgedTime),
                           served, count));
        return count == 0 ? 0 : static_cast<double>(served) / static_cast<double>(count);
    };
    std::size_t first = 0;
    std::size_t added = 0;
    const double firstShare = servedShare(loans, "/loans/", first);
    const double addedShare = servedShare(orders, "/orders/", added);
    std::size_t open = 0;
    for (const Arrival &arrival : deployment.arrivals.all())
        open += arrival.end.empty();
    record.line(format("requests that are still open at a searcher: %zu", open));
    return added >= FewestJudged && addedShare < LeastShare * firstShare ? Broken : Held;
}

/// A request that waits in a gateway for a free connection is sent to a searcher that has been
/// draining for longer than drain_ms.
ExitCode waitingRequest(Record &record)
{
    constexpr Milliseconds DrainTime{3000};
    /// A searcher exits this long after drain_ms.
    constexpr Milliseconds ServesLonger{1200};
    constexpr double SlowFactor = 9.8;
    constexpr Milliseconds SlowTime{6500};
    constexpr double PerSecond = 22.5;
    const RouteOptions options{"non_idempotent", 6000, 600, 10, 0};

    Deployment deployment(record, LibraryFleet);
    Searcher &first = deployment.addSearcher("cairo-one", 2, Milliseconds(160));
    Searcher &second = deployment.addSearcher("giza-two", 2, Milliseconds(160));
    deployment.startGateways(options);
    Callers callers(deployment.gateways, "POST", "/loans/", Milliseconds(6000), "reserve");
    callers.start(PerSecond);
    sleepUntil(Clock::now() + StableWindow + Milliseconds(1000));
    const TimePoint slowSince = Clock::now();
    if (hasTrouble()) {
        record.line("all searchers turn slow");
        first.setSlowness(SlowFactor);
        second.setSlowness(SlowFactor);
    }
    sleepUntil(Clock::now() + Milliseconds(1000));
    deployment.addSearcher("cairo-one", 2, Milliseconds(160));
    deployment.addSearcher("giza-two", 2, Milliseconds(160));
    sleepUntil(Clock::now() + Milliseconds(300));
    const std::map<std::string, TimePoint> drainedAt{{first.id(), first.drain()},
                                                     {second.id(), second.drain()}};
    sleepUntil(slowSince + SlowTime);
    first.setSlowness(1);
    second.setSlowness(1);
    sleepUntil(drainedAt.at(second.id()) + DrainTime + ServesLonger);
    first.leave();
    second.leave();
    sleepUntil(Clock::now() + Milliseconds(1500));
    callers.stop();

    std::size_t late = 0;
    std::size_t cut = 0;
    double latest = 0;
    for (const Arrival &arrival : deployment.arrivals.all()) {
        const auto drained = drainedAt.find(arrival.searcher);
        if (drained != drainedAt.end())
            latest = std::max(latest, record.seconds(arrival.at) - record.seconds(drained->second));
        if (drained == drainedAt.end() || arrival.at <= drained->second + DrainTime ||
            arrival.end == "other instance")
            continue;
        ++late;
        const bool isCut = arrival.hasRun && arrival.end != "answered";
        cut += isCut ? 1 : 0;
        const Outcome *outcome = callers.find(arrival.requestId);
        record.line(format("request %s, sent by its caller at %.3f s, reached searcher %s at "
                           "%.3f s, %.0f ms after the store had acknowledged its draining; it was "
                           "%s; the caller got %s",
                           arrival.requestId.c_str(), outcome ? record.seconds(outcome->sentAt) : 0,
                           arrival.searcher.c_str(), record.seconds(arrival.at),
                           1000 * (record.seconds(arrival.at) - record.seconds(drained->second)),
                           arrival.end.c_str(), outcome ? outcome->text().c_str() : "nothing"));
    }
    std::map<std::string, int> answers;
    for (const Outcome &outcome : callers.outcomes())
        ++answers[outcome.result == ReadResult::Message ? std::to_string(outcome.answer.status())
                                                        : toString(outcome.result)];
    for (const auto &[answer, count] : answers)
        record.line(format("callers got %s: %d", answer.c_str(), count));
    record.line(format("the last request reached a draining searcher %.0f ms after the "
                       "acknowledgement",
                       1000 * latest));
    record.line(format("requests that reached a searcher more than %d ms after its draining was "
                       "acknowledged: %zu, of which %zu were cut while they ran",
                       static_cast<int>(DrainTime.count()), late, cut));
    return late > 0 ? Broken : Held;
}

/// Writes the entries of searchers of another service, whose heartbeats are spread evenly, as those
/// of a deployment with more searchers are.
class OtherEntries
{
public:
    explicit OtherEntries(Deployment &deployment)
        : m_thread([this, &deployment] {
            for (int i = 0; !m_isStopped; ++i) {
                const int number = i % Count;
                deployment.store.put(
                        "servers", format("i-%04x", 0x8000 + number),
                        format(R"({"service":"board","address":"%s","zone":"alex-three",)"
                               R"("config_version":"v1","slots":2,"state":"ready",)"
                               R"("warmup_left_ms":0,"sequence_number":%d,"born":%d})",
                               deployment.addresses.of(150 + number, 8080).c_str(), i / Count,
                               1000 + number));
                sleepUntil(Clock::now() + Heartbeat / Count);
            }
        })
    {
    }
    ~OtherEntries()
    {
        m_isStopped = true;
        m_thread.join();
    }

private:
    static constexpr int Count = 40;
    static constexpr Milliseconds Heartbeat{1200};
    std::atomic<bool> m_isStopped{false};
    std::thread m_thread;
};

/// Four machines lose power right after the entry of a searcher was removed. The machines that got
/// the searchers' entries from two of them go on sending to that searcher.
ExitCode watchersLost(Record &record)
{
    constexpr Milliseconds DrainTime{3000};
    constexpr Milliseconds ServesLonger{2000};
    constexpr Milliseconds DownTime{2000};
    constexpr double PerSecond = 150;
    constexpr int Rounds = 7;
    constexpr Milliseconds PhaseStep{170};
    const std::vector<std::size_t> lost{0, 1, 2, 3};
    RouteOptions options;
    options.timeoutMs = 1500;
    options.objectiveMs = 150;

    Deployment deployment(record, LibraryFleet);
    deployment.addSearcher("cairo-one", 3, Milliseconds(10));
    deployment.addSearcher("giza-two", 3, Milliseconds(10));
    const OtherEntries others(deployment);
    deployment.startGateways(options);
    Callers callers(deployment.gateways, "GET", "/loans/", Milliseconds(1500));
    callers.start(PerSecond);

    std::map<std::string, TimePoint> removedAt;
    for (int round = 0; round < Rounds; ++round) {
        // Roles are settled some seconds after the machines are back. The rounds differ in their
        // place between two answers of the store, which come about once a second.
        sleepUntil(Clock::now() + StableWindow + Milliseconds(4000) + round * PhaseStep);
        Searcher &searcher = *deployment.searchers[static_cast<std::size_t>(round)];
        removedAt[searcher.id()] = searcher.deregister();
        record.line("searcher " + searcher.id() + ": entry removed, goes on serving");
        if (hasTrouble())
            for (const std::size_t index : lost)
                deployment.gateways.kill(index);
        sleepUntil(Clock::now() + DownTime);
        if (hasTrouble())
            for (const std::size_t index : lost)
                deployment.gateways.start(index, false);
        sleepUntil(removedAt[searcher.id()] + DrainTime + ServesLonger);
        searcher.leave();
        deployment.addSearcher(round % 2 == 0 ? "cairo-one" : "giza-two", 3, Milliseconds(10));
    }
    callers.stop();

    std::size_t late = 0;
    std::map<std::string, double> latest;
    for (const Arrival &arrival : deployment.arrivals.all()) {
        const auto removed = removedAt.find(arrival.searcher);
        if (removed == removedAt.end() || arrival.end == "other instance")
            continue;
        const double delay = record.seconds(arrival.at) - record.seconds(removed->second);
        latest[arrival.searcher] = std::max(latest[arrival.searcher], delay);
        late += arrival.at > removed->second + DrainTime ? 1 : 0;
    }
    for (const auto &[searcher, delay] : latest)
        record.line(format("the last request reached searcher %s %.0f ms after the removal of its "
                           "entry was acknowledged (bound %d ms)",
                           searcher.c_str(), 1000 * delay, static_cast<int>(DrainTime.count())));
    record.line(format("requests after the bound: %zu", late));
    return late > 0 ? Broken : Held;
}

/// The answer to a HEAD request that the gateway makes itself has a body.
ExitCode headAnswer(Record &record)
{
    constexpr Milliseconds Outage{4500};
    Deployment deployment(record);
    deployment.addSearcher("cairo-one", 2, Milliseconds(20));
    deployment.addSearcher("giza-two", 2, Milliseconds(20));
    deployment.startGateways(RouteOptions());
    sleepUntil(Clock::now() + StableWindow);
    const auto stream = connectTo(deployment.gateways.machines().front().front, ConnectTimeout);
    if (!stream)
        throw CannotRun{"no connection to a gateway"};

    const auto exchange = [&](const std::string &method, const std::string &target) {
        Outcome outcome;
        outcome.id = newRequestId();
        outcome.sentAt = Clock::now();
        stream->write(requestText(method, target, outcome.id, Milliseconds(1500)));
        outcome.result = stream->readAnswer(outcome.answer, method == "HEAD",
                                            Clock::now() + Milliseconds(2000));
        record.line(method + ' ' + target + " on the kept connection: " +
                    (outcome.result == ReadResult::Message ? outcome.answer.startLine + ", "
                                                           : std::string()) +
                    outcome.text());
        return outcome;
    };
    exchange("GET", "/loans/1");
    if (hasTrouble()) {
        for (const auto &searcher : deployment.searchers)
            searcher->crash();
        sleepUntil(Clock::now() + Milliseconds(200));
    }
    const Outcome head = exchange("HEAD", "/loans/2");
    const std::string stray = stream->rawBytes(Clock::now() + Milliseconds(300));
    record.line(format("bytes after the end of the answer to HEAD, with no request waiting: %zu",
                       stray.size()) +
                (stray.empty() ? "" : " \"" + stray + '"'));
    bool isBroken = head.result == ReadResult::Message && !stray.empty();
    if (hasTrouble()) {
        // A caller that doesn't look at its connection in between sends the next request at once.
        stream->write(requestText("HEAD", "/loans/3", newRequestId(), Milliseconds(1500)));
        Message answer;
        stream->readAnswer(answer, true, Clock::now() + Milliseconds(2000));
        record.line("HEAD /loans/3 on the kept connection: " + answer.startLine);
        sleepUntil(Clock::now() + Outage);
        deployment.addSearcher("cairo-one", 2, Milliseconds(20));
        deployment.addSearcher("giza-two", 2, Milliseconds(20));
        sleepUntil(Clock::now() + Milliseconds(2000));
    }
    const Outcome next = exchange("GET", "/loans/4");
    isBroken = isBroken || next.result == ReadResult::NotHttp;
    return isBroken ? Broken : Held;
}

/// Largest number of requests within one second at a cold searcher, of those that were also sent in
/// that second.
std::size_t mostInOneSecond(const std::vector<Arrival> &arrivals, const Callers &callers,
                            const std::string &searcher, TimePoint from, TimePoint until)
{
    std::vector<std::pair<TimePoint, TimePoint>> times;
    for (const Arrival &arrival : arrivals)
        if (arrival.searcher == searcher && arrival.end != "other instance" && arrival.at >= from &&
            arrival.at < until)
            if (const Outcome *outcome = callers.find(arrival.requestId))
                times.emplace_back(arrival.at, outcome->sentAt);
    std::ranges::sort(times);
    std::size_t most = 0;
    for (const auto &[start, ignored] : times) {
        const auto isInside = [&](const auto &time) {
            return time.first >= start && time.second >= start &&
                   time.first < start + Milliseconds(1000);
        };
        most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(times, isInside)));
    }
    return most;
}

/// Requests reach the searchers of a zone whose evacuation has ended before the gateways have read
/// that these searchers are cold.
ExitCode coldZone(Record &record)
{
    constexpr double WarmUpPerSecond = 5;
    constexpr double Overrun = 1.5;
    constexpr double Slack = 5;
    /// Requests within one second at which a cold searcher crashes: three times what it tolerates.
    constexpr std::size_t CrashCount = 15;
    constexpr double PerSecond = 150;
    constexpr int Evacuations = 4;
    constexpr Milliseconds EvacuationTime{5000};
    constexpr Milliseconds ColdTime{3000};
    constexpr Milliseconds EntryTime{3600};
    RouteOptions options;
    options.type = "non_idempotent";
    options.timeoutMs = 1500;
    options.objectiveMs = 150;
    options.warmUpPerSecond = WarmUpPerSecond;
    const std::vector<std::string> zones{"cairo-one", "giza-two"};

    Deployment deployment(record);
    std::vector<Searcher *> current;
    for (const std::string &zone : zones)
        current.push_back(&deployment.addSearcher(zone, 3, Milliseconds(15)));
    deployment.startGateways(options);
    Callers callers(deployment.gateways, "POST", "/loans/", Milliseconds(1500), "reserve");
    callers.start(PerSecond);
    sleepUntil(Clock::now() + StableWindow + Milliseconds(1000));

    const auto crashIfOverrun = [&](Searcher &searcher, TimePoint since) {
        while (Clock::now() < since + ColdTime) {
            const TimePoint from = std::max(since, Clock::now() - Milliseconds(1000));
            const std::vector<Arrival> arrivals = deployment.arrivals.all();
            const auto recent = std::ranges::count_if(arrivals, [&](const Arrival &arrival) {
                return arrival.searcher == searcher.id() && arrival.at >= from;
            });
            if (static_cast<std::size_t>(recent) > CrashCount) {
                searcher.crash();
                return true;
            }
            sleepUntil(Clock::now() + Milliseconds(10));
        }
        return false;
    };
    std::map<std::string, TimePoint> coldSince;
    for (int i = 0; i < Evacuations; ++i) {
        const std::size_t index = static_cast<std::size_t>(i) % zones.size();
        Searcher &searcher = *current[index];
        deployment.store.put("evacuations", zones[index], "{}");
        record.line("zone " + zones[index] + " is evacuated");
        sleepUntil(Clock::now() + EvacuationTime);
        const TimePoint since = hasTrouble() ? searcher.becomeCold(ColdTime) : Clock::now();
        if (hasTrouble())
            coldSince[searcher.id()] = since;
        sleepUntil(Clock::now() + Milliseconds(100));
        deployment.store.remove("evacuations", zones[index]);
        record.line("zone " + zones[index] + " is back; its searcher " + searcher.id() + " is " +
                    (hasTrouble() ? "cold" : "warm"));
        const bool hasCrashed = hasTrouble() && crashIfOverrun(searcher, since);
        sleepUntil(since + ColdTime + EntryTime);
        if (hasCrashed) {
            deployment.store.remove("servers", searcher.id());
            current[index] = &deployment.addSearcher(zones[index], 3, Milliseconds(15));
            sleepUntil(Clock::now() + Milliseconds(2000));
        }
    }
    callers.stop();

    const double bound = WarmUpPerSecond * Overrun + Slack;
    bool isBroken = false;
    const std::vector<Arrival> arrivals = deployment.arrivals.all();
    for (const auto &[searcher, since] : coldSince) {
        const std::size_t most =
                mostInOneSecond(arrivals, callers, searcher, since, since + ColdTime);
        record.line(format("searcher %s, cold from %.3f s on: %zu requests in one second (bound "
                           "%.1f)",
                           searcher.c_str(), record.seconds(since), most, bound));
        isBroken = isBroken || static_cast<double>(most) > bound;
    }
    for (const Arrival &arrival : arrivals) {
        if (!arrival.hasRun || arrival.end != "cut by the end of the searcher")
            continue;
        const Outcome *outcome = callers.find(arrival.requestId);
        record.line("request " + arrival.requestId + " was cut while it ran at " +
                    arrival.searcher + "; its caller got " +
                    (outcome ? outcome->text() : "nothing"));
    }
    record.line(format("callers sent %zu requests", callers.outcomes().size()));
    return isBroken ? Broken : Held;
}

/// A new version gets all requests of its service while the searchers of the old one are down.
ExitCode newVersionAlone(Record &record)
{
    constexpr double PerSecond = 90;
    constexpr Milliseconds Outage{4500};
    constexpr Milliseconds Deadline{12000};
    constexpr Milliseconds BadAfter{7500};
    constexpr double Share = 0.1;
    constexpr double Slack = 50;
    RouteOptions options;
    options.timeoutMs = 1500;
    options.objectiveMs = 150;
    Deployment deployment(record);
    deployment.addSearcher("cairo-one", 3, Milliseconds(10));
    deployment.addSearcher("giza-two", 3, Milliseconds(10));
    deployment.startGateways(options);
    Callers callers(deployment.gateways, "GET", "/loans/", Milliseconds(1500));
    callers.start(PerSecond);
    sleepUntil(Clock::now() + StableWindow + Milliseconds(1000));
    Searcher &c = deployment.addSearcher("cairo-one", 3, Milliseconds(10), "desk", "v2");
    Searcher &d = deployment.addSearcher("giza-two", 3, Milliseconds(10), "desk", "v2");
    const TimePoint ordered = deployment.store.put(
            "rollouts", "desk", R"({"service":"desk","target_version":"v2","duration_s":12})");
    sleepUntil(ordered + Milliseconds(2000));
    if (hasTrouble()) {
        deployment.searchers[0]->crash();
        deployment.searchers[1]->crash();
        sleepUntil(ordered + Milliseconds(2000) + Outage);
        deployment.addSearcher("cairo-one", 3, Milliseconds(10));
        deployment.addSearcher("giza-two", 3, Milliseconds(10));
    }
    sleepUntil(ordered + BadAfter);
    c.setBad();
    d.setBad();
    record.line("v2 turns bad");
    sleepUntil(ordered + Deadline + Milliseconds(1000));
    record.line("status: " + deployment.store.status("rollouts", "desk"));
    callers.stop();
    std::size_t all = 0, fresh = 0;
    for (const Arrival &arrival : deployment.arrivals.all()) {
        if (arrival.at < ordered || arrival.at > ordered + Deadline)
            continue;
        ++all;
        fresh += arrival.searcher == c.id() || arrival.searcher == d.id();
    }
    record.line(format("requests to v2: %zu of %zu, bound %.0f", fresh, all,
                       Share * static_cast<double>(all) + Slack));
    return static_cast<double>(fresh) > Share * static_cast<double>(all) + Slack ? Broken : Held;
}

/// The body of a request whose last transfer coding is not `chunked` is run as a request.
ExitCode requestInBody(Record &record)
{
    Deployment deployment(record);
    deployment.addSearcher("cairo-one", 2, Milliseconds(20));
    deployment.addSearcher("giza-two", 2, Milliseconds(20));
    RouteOptions options;
    options.type = "non_idempotent";
    deployment.startGateways(options);
    sleepUntil(Clock::now() + StableWindow);
    const auto stream = connectTo(deployment.gateways.machines().front().front, ConnectTimeout);
    if (!stream)
        throw CannotRun{"no connection to a gateway"};
    const std::string id = newRequestId();
    const std::string innerId = newRequestId();
    const std::string body =
            requestText("POST", "/loans/cancel-all", innerId, Milliseconds(1500), "x");
    const std::string coding = hasTrouble() ? "chunked, gzip" : "chunked";
    stream->write("POST /loans/note HTTP/1.1\r\nHost: " + std::string(Host) + "\r\nRequest-Id: " +
                  id + "\r\nDeadline-Ms: 1500\r\nTransfer-Encoding: " + coding + "\r\n\r\n" +
                  (hasTrouble() ? body : format("%zx\r\n", body.size()) + body + "\r\n0\r\n\r\n"));
    record.line("POST /loans/note with id " + id + ", Transfer-Encoding: " + coding +
                "; its body is the text of a request with id " + innerId);
    for (int i = 0; i < 2; ++i) {
        Message answer;
        const ReadResult result =
                stream->readAnswer(answer, false, Clock::now() + Milliseconds(1000));
        record.line(std::string("answer ") + std::to_string(i + 1) + ": " +
                    (result == ReadResult::Message ? answer.startLine + " " + answer.body
                                                   : toString(result)));
    }
    bool isBroken = false;
    for (const Arrival &arrival : deployment.arrivals.all()) {
        record.line("searcher " + arrival.searcher + " got " + arrival.method + ' ' +
                    arrival.target + " with id " + arrival.requestId + ": " +
                    (arrival.hasRun ? "run" : "not run"));
        isBroken = isBroken || (arrival.hasRun && arrival.requestId != id);
    }
    return isBroken ? Broken : Held;
}

struct Case
{
    const char *name;
    ExitCode (*run)(Record &);
};

constexpr std::array Cases{
        Case{"slow-senders", slowSenders},
        Case{"waiting-request", waitingRequest},
        Case{"watchers-lost", watchersLost},
        Case{"head-answer", headAnswer},
        Case{"cold-zone", coldZone},
        Case{"new-version-alone", newVersionAlone},
        Case{"request-in-body", requestInBody},
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return CouldNotRun;
    const auto found = std::ranges::find_if(
            Cases, [argv](const Case &one) { return std::strcmp(one.name, argv[1]) == 0; });
    if (found == Cases.end())
        return CouldNotRun;
    Record record(argv[2]);
    try {
        const ExitCode code = found->run(record);
        record.line(code == Broken ? "the rule was broken" : "the rule held");
        return code;
    } catch (const CannotRun &error) {
        record.line("the case could not run: " + error.reason);
        return CouldNotRun;
    }
}
