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
    std::string request;
    Address front;
    TimePoint sentAt{};
    TimePoint endedAt{};
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
    outcome.request = method + ' ' + target;
    outcome.front = front;
    outcome.sentAt = Clock::now();
    const auto stream = connectTo(front, ConnectTimeout);
    if (stream && stream->write(requestText(method, target, outcome.id, deadline, body)))
        outcome.result = stream->readAnswer(outcome.answer, method == "HEAD",
                                            outcome.sentAt + deadline + Milliseconds(200));
    outcome.endedAt = Clock::now();
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

/// The parts of a small deployment: a store, three gateways in three zones, and searchers.
struct Deployment
{
    explicit Deployment(Record &log)
        : record(log)
        , store(addresses.of(1, 8102), log)
        , gateways(addresses, {"cairo-one", "giza-two", "alex-three"}, addresses.of(1, 8102), log)
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

/// Writes all that callers sent and got and that reached searchers, in the order of time.
void recordRequests(Deployment &deployment, const std::vector<Outcome> &outcomes)
{
    std::multimap<TimePoint, std::string> events;
    for (const Outcome &outcome : outcomes) {
        events.emplace(outcome.sentAt, "sent: " + outcome.request + " with id " + outcome.id +
                                               " to " + outcome.front);
        events.emplace(outcome.endedAt, "answered: " + outcome.id + " with " + outcome.text());
    }
    for (const Arrival &arrival : deployment.arrivals.all()) {
        events.emplace(arrival.at, "arrived: " + arrival.requestId + " at searcher " +
                                           arrival.searcher + ", " + arrival.method + ' ' +
                                           arrival.target);
        if (!arrival.end.empty())
            events.emplace(arrival.endedAt,
                           "ended: " + arrival.requestId + " at searcher " + arrival.searcher +
                                   ", " + (arrival.hasRun ? "run, " : "not run, ") + arrival.end);
    }
    for (const auto &[time, text] : events)
        deployment.record.event(time, text);
}

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
    std::vector<Outcome> slowOutcomes;
    const TimePoint slowUntil = Clock::now() + SlowTime;
    record.line("some callers of /orders/ send their requests slowly, if the disruption is played");
    for (std::size_t i = 0; Clock::now() < slowUntil; ++i) {
        const Address front =
                deployment.gateways.machines()[i % deployment.gateways.machines().size()].front;
        slow.emplace_back([&, front] {
            Outcome outcome;
            outcome.id = newRequestId();
            outcome.request = "POST /orders/slow";
            outcome.front = front;
            outcome.sentAt = Clock::now();
            const std::string text =
                    requestText("POST", "/orders/slow", outcome.id, Milliseconds(3000), "order");
            const auto stream = connectTo(front, ConnectTimeout);
            if (stream && stream->write(text.substr(0, text.size() - 2))) {
                if (hasTrouble())
                    sleepUntil(Clock::now() + SendTime);
                stream->write(text.substr(text.size() - 2));
                outcome.result = stream->readAnswer(outcome.answer, false,
                                                    Clock::now() + Milliseconds(3000));
            }
            outcome.endedAt = Clock::now();
            const std::lock_guard lock(mutex);
            ++slowAnswers[outcome.result == ReadResult::Message
                                  ? std::to_string(outcome.answer.status())
                                  : toString(outcome.result)];
            slowOutcomes.push_back(std::move(outcome));
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
    slowOutcomes.insert(slowOutcomes.end(), loans.outcomes().begin(), loans.outcomes().end());
    slowOutcomes.insert(slowOutcomes.end(), orders.outcomes().begin(), orders.outcomes().end());
    recordRequests(deployment, slowOutcomes);
    return added >= FewestJudged && addedShare < LeastShare * firstShare ? Broken : Held;
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

    std::vector<Outcome> outcomes;
    const auto exchange = [&](const std::string &method, const std::string &target) {
        Outcome outcome;
        outcome.id = newRequestId();
        outcome.request = method + ' ' + target;
        outcome.front = deployment.gateways.machines().front().front;
        outcome.sentAt = Clock::now();
        stream->write(requestText(method, target, outcome.id, Milliseconds(1500)));
        outcome.result = stream->readAnswer(outcome.answer, method == "HEAD",
                                            Clock::now() + Milliseconds(2000));
        outcome.endedAt = Clock::now();
        record.line(method + ' ' + target + " on the kept connection: " +
                    (outcome.result == ReadResult::Message ? outcome.answer.startLine + ", "
                                                           : std::string()) +
                    outcome.text());
        outcomes.push_back(outcome);
        return outcome;
    };
    exchange("GET", "/loans/1");
    if (hasTrouble())
        for (const auto &searcher : deployment.searchers)
            searcher->crash();
    const TimePoint crashedAt = Clock::now();
    sleepUntil(crashedAt + Milliseconds(200));
    const Outcome head = exchange("HEAD", "/loans/2");
    const std::string stray = stream->rawBytes(Clock::now() + Milliseconds(300));
    record.line(format("bytes after the end of the answer to HEAD, with no request waiting: %zu",
                       stray.size()) +
                (stray.empty() ? "" : " \"" + stray + '"'));
    // A caller that doesn't look at its connection in between sends its next request there.
    exchange("HEAD", "/loans/3");
    sleepUntil(crashedAt + Outage);
    if (hasTrouble()) {
        deployment.addSearcher("cairo-one", 2, Milliseconds(20));
        deployment.addSearcher("giza-two", 2, Milliseconds(20));
    }
    sleepUntil(Clock::now() + Milliseconds(2000));
    const Outcome next = exchange("GET", "/loans/4");
    recordRequests(deployment, outcomes);
    const bool isBroken = (head.result == ReadResult::Message && !stray.empty()) ||
                          next.result == ReadResult::NotHttp;
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
    recordRequests(deployment, callers.outcomes());
    return isBroken ? Broken : Held;
}

/// A new version gets all requests of its service while the searchers of the old one are down. It
/// turns bad later.
ExitCode newVersionAlone(Record &record)
{
    constexpr double PerSecond = 90;
    constexpr Milliseconds OutageAfter{2000};
    constexpr Milliseconds Outage{4500};
    constexpr Milliseconds BadAfter{7500};
    constexpr Milliseconds RolloutTime{12000};
    constexpr double ExposureShare = 0.1;
    constexpr double ExposureSlack = 50;
    RouteOptions options;
    options.timeoutMs = 1500;
    options.objectiveMs = 150;
    const std::vector<std::string> zones{"cairo-one", "giza-two"};

    Deployment deployment(record);
    const auto addSearchers = [&](const std::string &version) {
        std::vector<Searcher *> added;
        for (const std::string &zone : zones)
            added.push_back(&deployment.addSearcher(zone, 3, Milliseconds(10), "desk", version));
        return added;
    };
    const std::vector<Searcher *> oldOnes = addSearchers("v1");
    deployment.startGateways(options);
    Callers callers(deployment.gateways, "GET", "/loans/", Milliseconds(1500));
    callers.start(PerSecond);
    sleepUntil(Clock::now() + StableWindow + Milliseconds(1000));
    const std::vector<Searcher *> newOnes = addSearchers("v2");
    const TimePoint ordered = deployment.store.put(
            "rollouts", "desk", R"({"service":"desk","target_version":"v2","duration_s":12})");
    record.line("the rollout of v2 is ordered, within 12 s");
    sleepUntil(ordered + OutageAfter);
    if (hasTrouble()) {
        for (Searcher *searcher : oldOnes)
            searcher->crash();
        sleepUntil(ordered + OutageAfter + Outage);
        addSearchers("v1");
    }
    sleepUntil(ordered + BadAfter);
    for (Searcher *searcher : newOnes)
        searcher->setBad();
    record.line("every other answer of v2 is a failure from now on");
    sleepUntil(ordered + RolloutTime + Milliseconds(1000));
    record.line("status of the rollout: " + deployment.store.status("rollouts", "desk"));
    callers.stop();

    double all = 0;
    double exposed = 0;
    for (const Arrival &arrival : deployment.arrivals.all()) {
        if (arrival.at < ordered || arrival.at > ordered + RolloutTime)
            continue;
        ++all;
        exposed += std::ranges::any_of(newOnes, [&](const Searcher *searcher) {
            return searcher->id() == arrival.searcher;
        });
    }
    const double bound = ExposureShare * all + ExposureSlack;
    record.line(format("requests to v2 from the order to its deadline: %.0f of %.0f (bound %.0f)",
                       exposed, all, bound));
    recordRequests(deployment, callers.outcomes());
    return exposed > bound ? Broken : Held;
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
