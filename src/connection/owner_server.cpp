#include "connection/owner_server_p.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace geraniumcart {

namespace asio = boost::asio;

OwnerServer::OwnerServer(asio::io_context &context, TimerService &timers,
                         const SnapshotPublisher &snapshots, SubRequestSender &local,
                         std::shared_ptr<FrameConnection> connection)
    : m_context(context)
    , m_timers(timers)
    , m_snapshots(snapshots)
    , m_local(local)
    , m_connection(std::move(connection))
{
}

void OwnerServer::start()
{
    // These callbacks keep the server alive until the connection closes.
    m_connection->setCallbacks(
            [self = shared_from_this()](FrameConnection &, PeerMessage message) {
                if (auto *batch = std::get_if<PeerSubBatch>(&message))
                    self->onBatch(std::move(*batch));
                else if (const auto *cancel = std::get_if<PeerSubCancel>(&message))
                    self->onCancel(*cancel);
            },
            [self = shared_from_this()](FrameConnection &, const FrameClose &) {
                self->onClosed();
            });
    m_connection->start();
}

void OwnerServer::onBatch(PeerSubBatch batch)
{
    const SnapshotPin snapshot = m_snapshots.pin();
    const auto service = snapshot->services.find(batch.service);
    const auto body = std::make_shared<const std::string>(std::move(batch.body));
    const TimePoint deadline = m_timers.now() + batch.remaining;

    std::vector<SubRequest> accepted;
    for (const PeerSubRequest &peerRequest : batch.requests) {
        if (m_pending.contains(peerRequest.id))
            continue;
        const Searcher *searcher = nullptr;
        if (service != snapshot->services.end()) {
            const auto position = service->second->byAddress.find(peerRequest.address);
            if (position != service->second->byAddress.end())
                searcher = &service->second->searchers[position->second];
        }
        // Only the owner may dispatch to a searcher. A peer whose view of the owners is outdated
        // gets NotSent and tries another replica.
        if (!searcher || !searcher->owner.empty()) {
            queueResult({peerRequest.id, SubRequestFailure::NotSent, {}});
            continue;
        }
        SubRequest request;
        request.id = peerRequest.id;
        request.kind = batch.kind;
        request.service = batch.service;
        request.upstream = searcher->state;
        request.shard = peerRequest.shard;
        request.indexVersion = batch.indexVersion;
        request.deadline = deadline;
        request.body = body;
        request.versionCounters = searcher->versionCounters;
        m_pending.emplace(request.id, request);
        accepted.push_back(std::move(request));
    }
    if (!accepted.empty())
        m_local.send(accepted, shared_from_this());
    scheduleKeepAlive();
}

void OwnerServer::onCancel(const PeerSubCancel &cancel)
{
    for (const SubRequestId id : cancel.ids) {
        const auto found = m_pending.find(id);
        if (found != m_pending.end())
            m_local.cancel(found->second);
    }
}

void OwnerServer::onClosed()
{
    // The results cannot be delivered any more, so searches are cancelled. Bookings are not:
    // cancelling one would leave its caller with an outcome that is still unknown.
    for (const auto &[id, request] : m_pending)
        if (request.kind == RequestKind::Search)
            m_local.cancel(request);
}

void OwnerServer::onAnswer(SubRequestAnswer answer)
{
    const SubRequestId id = answer.id;
    queueResult({id, std::nullopt, std::move(answer)});
}

void OwnerServer::onFailure(SubRequestId id, SubRequestFailure failure)
{
    queueResult({id, failure, {}});
}

void OwnerServer::queueResult(PeerSubEnd result)
{
    m_pending.erase(result.id);
    m_results.push_back(std::move(result));
    if (m_isFlushPosted)
        return;
    m_isFlushPosted = true;
    asio::post(m_context, [self = shared_from_this()] { self->flush(); });
}

void OwnerServer::flush()
{
    m_isFlushPosted = false;
    m_connection->send(PeerSubReply{std::exchange(m_results, {})});
    m_lastSent = m_timers.now();
}

void OwnerServer::scheduleKeepAlive()
{
    if (m_isKeepAliveScheduled || m_pending.empty())
        return;
    m_isKeepAliveScheduled = true;
    m_timers.schedule(KeepAliveInterval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isKeepAliveScheduled = false;
        if (!self->m_connection->isOpen() || self->m_pending.empty())
            return;
        self->scheduleKeepAlive();
        if (self->m_timers.now() - self->m_lastSent >= KeepAliveInterval)
            self->flush();
    });
}

} // namespace geraniumcart
