#include "connection/upstream_connections_p.h"

#include "connection/endpoint_p.h"
#include "process/cold_searchers_p.h"
#include "process/log_p.h"

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// Time after the deadline at which an exchange without an answer ends. A searcher may answer up to
/// the deadline, and its answer needs time to arrive.
constexpr std::chrono::milliseconds DeadlineSlack{60};
/// Timeout for opening a connection. TCP repeats a lost SYN after one second; by then, another
/// searcher is more likely to answer in time.
constexpr std::chrono::milliseconds ConnectTimeout{800};
/// An idle connection is closed this long before the searcher's idle timeout, so that no request is
/// sent while the searcher closes the connection.
constexpr std::chrono::milliseconds IdleMargin{1000};
/// Time for which a searcher is waited for that is asked whether it is cold. It answers within
/// milliseconds, or once it has a free slot.
constexpr std::chrono::milliseconds HealthTimeout{500};
/// Time for which an answer shows that connections of the searcher are not left over from an
/// earlier start. A host that loses power, which closes none of them, is not back sooner.
constexpr std::chrono::milliseconds SameStartTime{1000};
constexpr unsigned Ok = 200;

} // namespace

const char *toString(OpenCause cause)
{
    switch (cause) {
    case OpenCause::Advance:
        return "advance";
    case OpenCause::NoConnection:
        return "noConnection";
    case OpenCause::AllBusy:
        return "allBusy";
    case OpenCause::Count:
        break;
    }
    return "unknown";
}

const char *toString(CloseCause cause)
{
    switch (cause) {
    case CloseCause::Idle:
        return "idle";
    case CloseCause::ClosedIdle:
        return "closedIdle";
    case CloseCause::NotReusable:
        return "notReusable";
    case CloseCause::Cancelled:
        return "cancelled";
    case CloseCause::Failed:
        return "failed";
    case CloseCause::NotOpened:
        return "notOpened";
    case CloseCause::SameRequest:
        return "sameRequest";
    case CloseCause::NoHealthAnswer:
        return "noHealthAnswer";
    case CloseCause::Count:
        break;
    }
    return "unknown";
}

UpstreamConnections::UpstreamConnections(boost::asio::io_context &context, TimerService &timers,
                                         UpstreamHeaderNames names)
    : m_context(context)
    , m_timers(timers)
    , m_names(std::move(names))
{
}

UpstreamConnections::~UpstreamConnections()
{
    for (const auto &[upstream, entries] : m_links)
        for (const auto &entry : entries)
            entry->link->close();
}

bool UpstreamConnections::hasCapacity(const Upstream &upstream, std::uint32_t connections) const
{
    const auto found = m_links.find(&upstream);
    if (found == m_links.end())
        return true;
    return found->second.size() < connections ||
           std::any_of(found->second.begin(), found->second.end(),
                       [](const auto &entry) { return !entry->exchange; });
}

ExchangeId UpstreamConnections::send(const std::shared_ptr<Upstream> &upstream,
                                     std::shared_ptr<const ForwardRequest> request,
                                     TimePoint deadline, std::shared_ptr<ExchangeListener> listener)
{
    const ExchangeId id = ++m_lastId;
    LinkEntry *chosen = idleLink(*upstream, request->id);
    if (!chosen)
        chosen = &openLink(upstream, m_links[upstream.get()].empty() ? OpenCause::NoConnection
                                                                     : OpenCause::AllBusy);
    chosen->lastRequestId = request->id;
    chosen->exchange = std::make_unique<Exchange>();
    Exchange &exchange = *chosen->exchange;
    exchange = {id, std::move(request), deadline, std::move(listener)};
    exchange.isPaced = upstream->isPaced(m_timers.now());
    exchange.timer = m_timers.schedule(deadline - m_timers.now() + DeadlineSlack,
                                       [this, id] { onExchangeTimeout(id); });
    m_byExchange[id] = chosen;
    if (chosen->isOpen && !chosen->isChecking)
        proceed(*chosen);
    return id;
}

UpstreamConnections::LinkEntry *UpstreamConnections::idleLink(const Upstream &upstream,
                                                              const std::string &requestId)
{
    LinkEntry *chosen = nullptr;
    LinkEntry *repeated = nullptr;
    // An idle open connection is preferred to one that is still opening.
    for (const auto &entry : m_links[&upstream]) {
        if (entry->exchange)
            continue;
        if (entry->lastRequestId == requestId)
            repeated = entry.get();
        else if (!chosen || (entry->isOpen && !chosen->isOpen))
            chosen = entry.get();
    }
    // A second copy of the answer to the earlier attempt could not be told from the answer to this
    // one. A copy of a refusal would report a request as not run while it runs.
    if (repeated && !chosen)
        drop(*repeated, ExchangeFailure::Cancelled, CloseCause::SameRequest);
    return chosen;
}

void UpstreamConnections::cancel(ExchangeId id)
{
    const auto found = m_byExchange.find(id);
    if (found == m_byExchange.end())
        return;
    LinkEntry &entry = *found->second;
    const std::unique_ptr<LinkEntry> removed = removeEntry(entry, CloseCause::Cancelled);
    disarm(removed->exchange->timer);
    removed->link->close();
}

void UpstreamConnections::warmUp(const std::shared_ptr<Upstream> &upstream)
{
    const auto links = m_links.find(upstream.get());
    if (links == m_links.end()) {
        if (upstream->mayConnect(m_timers.now()))
            openLink(upstream, OpenCause::Advance);
        return;
    }
    const auto idle = std::ranges::find_if(links->second, [](const auto &entry) {
        return entry->isOpen && !entry->exchange && !entry->isChecking;
    });
    if (idle != links->second.end())
        startCheck(**idle);
}

bool UpstreamConnections::startCheck(LinkEntry &entry)
{
    const auto path = m_healthPaths.find(entry.upstream->service());
    const TimePoint now = m_timers.now();
    if (!entry.upstream->mustConfirm(entry.checkedAt, now))
        return false;
    if (path == m_healthPaths.end()) {
        entry.upstream->recordNoStatement(now);
        return false;
    }
    const bool isWritten = entry.link->startHealthRequest(path->second, entry.upstream->address());
    entry.isChecking = true;
    entry.checkedAt = now;
    disarm(entry.timer);
    entry.timer = m_timers.schedule(isWritten ? Duration(HealthTimeout) : Duration::zero(),
                                    [this, isWritten, link = std::weak_ptr(entry.link)] {
                                        const auto held = link.lock();
                                        LinkEntry *late = held ? entryOf(*held) : nullptr;
                                        if (!late)
                                            return;
                                        late->timer = 0;
                                        if (isWritten)
                                            late->upstream->recordNoStatement(m_timers.now());
                                        // A late answer would be taken for that of the next
                                        // request.
                                        drop(*late, ExchangeFailure::NotSent,
                                             isWritten ? CloseCause::NoHealthAnswer
                                                       : CloseCause::ClosedIdle);
                                    });
    return true;
}

void UpstreamConnections::proceed(LinkEntry &entry)
{
    if (startCheck(entry))
        return;
    if (entry.exchange)
        write(entry);
    else
        setIdle(entry);
}

bool UpstreamConnections::hasRecentAnswer(const LinkEntry &except) const
{
    const TimePoint now = m_timers.now();
    return std::ranges::any_of(m_links.at(except.upstream.get()), [&](const auto &entry) {
        return entry.get() != &except && entry->isOpen && now - entry->answeredAt < SameStartTime;
    });
}

UpstreamConnections::LinkEntry &
UpstreamConnections::openLink(const std::shared_ptr<Upstream> &upstream, OpenCause cause)
{
    auto owned = std::make_unique<LinkEntry>();
    LinkEntry &entry = *owned;
    entry.upstream = upstream;
    entry.link = std::make_shared<UpstreamLink>(m_context, m_names, m_openAnswers, *this);
    m_byLink[entry.link.get()] = &entry;
    m_links[upstream.get()].push_back(std::move(owned));
    ++m_counts.opened[static_cast<std::size_t>(cause)];
    const auto endpoint = parseEndpoint(upstream->address());
    if (!endpoint)
        logEvent(LogLevel::Error, "searcherAddressUnreadable",
                 {{"instance", upstream->instanceId()}, {"address", upstream->address()}});
    entry.timer =
            m_timers.schedule(endpoint ? Duration(ConnectTimeout) : Duration::zero(),
                              [this, link = std::weak_ptr(entry.link)] {
                                  const auto held = link.lock();
                                  LinkEntry *late = held ? entryOf(*held) : nullptr;
                                  if (!late)
                                      return;
                                  late->timer = 0;
                                  late->upstream->recordUnreachable(m_timers.now());
                                  drop(*late, ExchangeFailure::NotSent, CloseCause::NotOpened);
                              });
    if (endpoint)
        entry.link->open(*endpoint);
    return entry;
}

void UpstreamConnections::write(LinkEntry &entry)
{
    disarm(entry.timer);
    Exchange &exchange = *entry.exchange;
    const Duration remaining = exchange.deadline - m_timers.now();
    const bool isInTime = remaining > Duration::zero();
    exchange.isWritten = isInTime && entry.link->start(*exchange.request,
                                                       entry.upstream->instanceId(), remaining);
    if (exchange.isWritten)
        return;
    // The listener must not be called before send() returns, so a timer reports the failure.
    m_timers.schedule(Duration::zero(), [this, id = exchange.id, isInTime] {
        const auto found = m_byExchange.find(id);
        if (found == m_byExchange.end())
            return;
        LinkEntry &unused = *found->second;
        if (isInTime) {
            // The searcher had closed the idle connection.
            drop(unused, ExchangeFailure::NotSent, CloseCause::ClosedIdle);
            return;
        }
        std::unique_ptr<Exchange> ended = std::move(unused.exchange);
        setIdle(unused);
        fail(std::move(ended), ExchangeFailure::NotSent);
    });
}

UpstreamConnections::LinkEntry *UpstreamConnections::entryOf(const UpstreamLink &link)
{
    const auto found = m_byLink.find(&link);
    return found == m_byLink.end() ? nullptr : found->second;
}

std::unique_ptr<UpstreamConnections::LinkEntry>
UpstreamConnections::removeEntry(const LinkEntry &entry, CloseCause cause)
{
    ++m_counts.closed[static_cast<std::size_t>(cause)];
    const auto entries = m_links.find(entry.upstream.get());
    const auto position =
            std::find_if(entries->second.begin(), entries->second.end(),
                         [&entry](const auto &other) { return other.get() == &entry; });
    std::unique_ptr<LinkEntry> removed = std::move(*position);
    entries->second.erase(position);
    if (entries->second.empty())
        m_links.erase(entries);
    disarm(removed->timer);
    const TimePoint now = m_timers.now();
    // The end of a connection that nothing needed is no event of its own.
    if (removed->isOpen && removed->upstream->recordLinkClosed(now) && cause != CloseCause::Idle)
        recordColdSearcher(*removed->upstream, ColdCause::NoConnection, now);
    m_byLink.erase(removed->link.get());
    if (removed->exchange)
        m_byExchange.erase(removed->exchange->id);
    return removed;
}

void UpstreamConnections::drop(LinkEntry &entry, ExchangeFailure failure, CloseCause cause)
{
    const std::unique_ptr<LinkEntry> removed = removeEntry(entry, cause);
    removed->link->close();
    if (removed->exchange)
        fail(std::move(removed->exchange), failure);
}

void UpstreamConnections::fail(std::unique_ptr<Exchange> exchange, ExchangeFailure failure)
{
    m_byExchange.erase(exchange->id);
    disarm(exchange->timer);
    exchange->listener->onFailure(exchange->id,
                                  exchange->isWritten ? failure : ExchangeFailure::NotSent);
}

void UpstreamConnections::setIdle(LinkEntry &entry)
{
    Duration idle = m_idleTime;
    const TimePoint now = m_timers.now();
    // Without a connection, the searcher would count as cold for longer.
    if (entry.upstream->isPaced(now))
        idle += std::min<Duration>(entry.upstream->coldUntil() - now, MaxPause);
    if (entry.link->keepAlive())
        idle = std::min<Duration>(idle, *entry.link->keepAlive() - IdleMargin);
    disarm(entry.timer);
    entry.timer = m_timers.schedule(idle, [this, link = std::weak_ptr(entry.link)] {
        const auto held = link.lock();
        LinkEntry *expired = held ? entryOf(*held) : nullptr;
        if (!expired)
            return;
        expired->timer = 0;
        drop(*expired, ExchangeFailure::Cancelled, CloseCause::Idle);
    });
}

void UpstreamConnections::setIdleTime(Duration time)
{
    if (std::exchange(m_idleTime, time) == time)
        return;
    for (const auto &[upstream, entries] : m_links)
        for (const auto &entry : entries)
            if (entry->isOpen && !entry->exchange && !entry->isChecking)
                setIdle(*entry);
}

void UpstreamConnections::onLinkOpen(UpstreamLink &link)
{
    LinkEntry &entry = *entryOf(link);
    const TimePoint now = m_timers.now();
    entry.isOpen = true;
    disarm(entry.timer);
    if (entry.upstream->recordLinkOpened(now, hasRecentAnswer(entry)))
        recordColdSearcher(*entry.upstream, ColdCause::NewConnection, now);
    // The request was sent when the searcher was known to be warm. If the limit of a cold one does
    // not allow it, it is sent again.
    std::unique_ptr<Exchange> returned;
    if (entry.exchange && !entry.exchange->isPaced && !entry.upstream->tryTakeWarmUp(now))
        returned = std::move(entry.exchange);
    proceed(entry);
    if (returned)
        fail(std::move(returned), ExchangeFailure::NotSent);
}

void UpstreamConnections::onHealthAnswer(LinkEntry &entry, const UpstreamReply &reply)
{
    Upstream &upstream = *entry.upstream;
    const TimePoint now = m_timers.now();
    // A searcher that states no time and is well is warm.
    const bool isStated = reply.instanceId == upstream.instanceId() && !reply.isNotRun &&
                          !reply.isWarmUpUnreadable &&
                          (reply.remainingWarmUp || reply.status == Ok);
    if (!isStated) {
        upstream.recordNoStatement(now);
        return;
    }
    const Duration remaining = reply.remainingWarmUp.value_or(Duration::zero());
    if (upstream.confirmWarmUp(entry.checkedAt, now, remaining) && remaining > Duration::zero())
        recordColdSearcher(upstream, ColdCause::HealthAnswer, now);
}

void UpstreamConnections::onLinkReply(UpstreamLink &link, UpstreamReply reply, bool isReusable)
{
    LinkEntry &entry = *entryOf(link);
    entry.answeredAt = m_timers.now();
    if (std::exchange(entry.isChecking, false)) {
        disarm(entry.timer);
        onHealthAnswer(entry, reply);
        if (isReusable) {
            proceed(entry);
            return;
        }
        // A searcher that closes each connection after such an answer would get no request.
        entry.upstream->recordNoStatement(entry.answeredAt);
        drop(entry, ExchangeFailure::NotSent, CloseCause::NotReusable);
        return;
    }
    const std::unique_ptr<Exchange> exchange = std::move(entry.exchange);
    m_byExchange.erase(exchange->id);
    disarm(exchange->timer);
    if (isReusable)
        setIdle(entry);
    else
        removeEntry(entry, CloseCause::NotReusable);
    exchange->listener->onReply(exchange->id, std::move(reply));
}

void UpstreamConnections::onLinkLost(UpstreamLink &link, ExchangeFailure failure)
{
    LinkEntry *entry = entryOf(link);
    if (!entry)
        return;
    const bool isBusy = entry->isChecking || (entry->exchange && entry->exchange->isWritten);
    if (!entry->isOpen || entry->isChecking)
        entry->upstream->recordUnreachable(m_timers.now());
    if (entry->isChecking)
        entry->upstream->recordNoStatement(m_timers.now());
    drop(*entry, failure,
         !entry->isOpen ? CloseCause::NotOpened
         : isBusy       ? CloseCause::Failed
                        : CloseCause::ClosedIdle);
}

void UpstreamConnections::onExchangeTimeout(ExchangeId id)
{
    const auto found = m_byExchange.find(id);
    if (found == m_byExchange.end())
        return;
    ++m_counts.timedOut;
    LinkEntry &entry = *found->second;
    entry.exchange->timer = 0;
    drop(entry, ExchangeFailure::TimedOut,
         entry.isOpen ? CloseCause::Failed : CloseCause::NotOpened);
}

LinkStates UpstreamConnections::states() const
{
    LinkStates states;
    for (const auto &[upstream, entries] : m_links)
        for (const auto &entry : entries)
            ++(!entry->isOpen                         ? states.opening
               : entry->exchange || entry->isChecking ? states.busy
                                                      : states.idle);
    return states;
}

void UpstreamConnections::disarm(TimerId &timer)
{
    if (timer != 0)
        m_timers.cancel(std::exchange(timer, 0));
}

} // namespace geraniumcart
