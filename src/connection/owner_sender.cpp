#include "connection/owner_sender_p.h"

#include "process/log_p.h"

#include <geraniumcart/config.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace geraniumcart {

namespace asio = boost::asio;

namespace {

/// A link with pending sub-requests on which nothing was received for this long is closed. Its
/// owner sends a frame at least every OwnerServer::KeepAliveInterval (40 ms) while any is pending.
constexpr std::chrono::milliseconds SilenceTimeout{150};
constexpr std::chrono::milliseconds SilenceCheckInterval{50};
/// Delay before the next connection attempt after a connection failed. Sub-requests that are sent
/// in the meantime fail immediately and are sent to replicas of other owners.
constexpr std::chrono::milliseconds ReconnectDelay{100};

} // namespace

PeerLink::PeerLink(asio::io_context &context, TimerService &timers, std::string peerAddress,
                   HelloSource hello)
    : m_context(context)
    , m_timers(timers)
    , m_peerAddress(std::move(peerAddress))
    , m_hello(std::move(hello))
{
}

void PeerLink::connect()
{
    m_connection = std::make_shared<FrameConnection>(FrameConnection::Socket(m_context));
    m_connected = false;
    m_connection->setCallbacks(
            [link = weak_from_this()](FrameConnection &, PeerMessage message) {
                if (const auto self = link.lock())
                    self->onMessage(std::move(message));
            },
            [link = weak_from_this()](FrameConnection &, const FrameClose &close) {
                const auto self = link.lock();
                if (!self)
                    return;
                logEvent(LogLevel::Info, "peerLinkClosed",
                         {{"peer", self->m_peerAddress}, {"reason", close.reason}});
                self->onClosed(SubRequestFailure::ConnectionLost);
            });
    m_connection->connect(m_peerAddress, [link = weak_from_this()] {
        if (const auto self = link.lock())
            self->m_connected = true;
    });
    m_connection->send(m_hello());
}

void PeerLink::send(std::span<const SubRequest> requests,
                    const std::shared_ptr<SubRequestListener> &listener)
{
    const TimePoint now = m_timers.now();
    if (!m_connection && now >= m_retryAt)
        connect();

    PeerSubBatch batch;
    const SubRequest &first = requests.front();
    batch.kind = first.kind;
    batch.service = first.service;
    batch.indexVersion = first.indexVersion;
    batch.remaining = first.deadline - now;
    batch.body = first.body ? *first.body : std::string();
    for (const SubRequest &request : requests)
        batch.requests.push_back({request.id, request.upstream->address(), request.shard});

    if (!m_connection || !m_connection->send(batch)) {
        asio::post(m_context, [ids = std::move(batch.requests), listener] {
            for (const PeerSubRequest &request : ids)
                listener->onFailure(request.id, SubRequestFailure::NotSent);
        });
        return;
    }
    for (const SubRequest &request : requests) {
        request.upstream->begin();
        m_pending[request.id] = {listener, request.upstream, now, request.deadline};
    }
    scheduleSilenceCheck();
}

void PeerLink::cancel(SubRequestId id)
{
    if (!m_pending.contains(id))
        return;
    if (m_connection)
        m_connection->send(PeerSubCancel{{id}});
    asio::post(m_context, [self = shared_from_this(), id] {
        self->complete(id, [id](SubRequestListener &listener) {
            listener.onFailure(id, SubRequestFailure::Cancelled);
        });
    });
}

void PeerLink::complete(SubRequestId id, const std::function<void(SubRequestListener &)> &report)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    pending.upstream->end();
    report(*pending.listener);
}

void PeerLink::onMessage(PeerMessage message)
{
    auto *reply = std::get_if<PeerSubReply>(&message);
    if (!reply)
        return;
    const TimePoint now = m_timers.now();
    for (PeerSubEnd &result : reply->ends) {
        const auto found = m_pending.find(result.id);
        if (found != m_pending.end() && !result.failure)
            found->second.upstream->recordLatency(now - found->second.sent);
        complete(result.id, [&](SubRequestListener &listener) {
            if (result.failure)
                listener.onFailure(result.id, *result.failure);
            else
                listener.onAnswer(std::move(result.answer));
        });
    }
}

void PeerLink::onClosed(SubRequestFailure failure)
{
    m_retryAt = m_timers.now() + ReconnectDelay;
    // Until the connection was established, no byte of a frame had left this process.
    const SubRequestFailure reported = m_connected ? failure : SubRequestFailure::NotSent;
    m_connection.reset();
    failAll(reported);
}

void PeerLink::failAll(SubRequestFailure failure)
{
    auto pending = std::move(m_pending);
    m_pending.clear();
    for (auto &[id, entry] : pending) {
        entry.upstream->end();
        entry.listener->onFailure(id, failure);
    }
}

void PeerLink::scheduleSilenceCheck()
{
    if (m_isCheckScheduled || m_pending.empty())
        return;
    m_isCheckScheduled = true;
    m_timers.schedule(SilenceCheckInterval, [link = weak_from_this()] {
        const auto self = link.lock();
        if (!self)
            return;
        self->m_isCheckScheduled = false;
        if (!self->m_connection || self->m_pending.empty())
            return;
        const TimePoint now = self->m_timers.now();
        const auto oldest = std::min_element(
                self->m_pending.begin(), self->m_pending.end(),
                [](const auto &a, const auto &b) { return a.second.sent < b.second.sent; });
        const TimePoint waitingSince =
                std::max(oldest->second.sent, self->m_connection->lastReceived());
        if (now - waitingSince > SilenceTimeout) {
            logEvent(LogLevel::Warn, "peerLinkSilent", {{"peer", self->m_peerAddress}});
            self->m_connection->close();
            self->m_retryAt = now;
            const bool wasConnected = self->m_connected;
            self->m_connection.reset();
            self->failAll(wasConnected ? SubRequestFailure::TimedOut : SubRequestFailure::NotSent);
            return;
        }
        self->scheduleSilenceCheck();
    });
}

void PeerLink::close()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
    failAll(m_connected ? SubRequestFailure::ConnectionLost : SubRequestFailure::NotSent);
}

OwnerSender::OwnerSender(asio::io_context &context, TimerService &timers, SubRequestSender &local,
                         PeerLink::HelloSource hello)
    : m_context(context)
    , m_timers(timers)
    , m_local(local)
    , m_hello(std::move(hello))
{
}

OwnerSender::~OwnerSender()
{
    for (const auto &[peerAddress, link] : m_links)
        link->close();
}

PeerLink &OwnerSender::linkTo(const std::string &peerAddress)
{
    std::shared_ptr<PeerLink> &link = m_links[peerAddress];
    if (!link) {
        link = std::make_shared<PeerLink>(m_context, m_timers, peerAddress, m_hello);
        // Daemons are replaced every day, mostly at new addresses, so idle links would accumulate.
        std::erase_if(m_links, [&](const auto &entry) {
            return entry.first != peerAddress && entry.second->isIdle();
        });
    }
    return *m_links[peerAddress];
}

void OwnerSender::send(std::span<const SubRequest> requests,
                       std::shared_ptr<SubRequestListener> listener)
{
    std::vector<SubRequest> sorted(requests.begin(), requests.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const SubRequest &a, const SubRequest &b) { return a.owner < b.owner; });
    for (auto first = sorted.begin(); first != sorted.end();) {
        const auto last = std::find_if(first, sorted.end(), [&](const SubRequest &request) {
            return request.owner != first->owner;
        });
        const std::span<const SubRequest> group(first, last);
        if (first->owner.empty())
            m_local.send(group, listener);
        else
            linkTo(first->owner).send(group, listener);
        first = last;
    }
}

void OwnerSender::cancel(const SubRequest &request)
{
    if (request.owner.empty())
        m_local.cancel(request);
    else
        linkTo(request.owner).cancel(request.id);
}

} // namespace geraniumcart
