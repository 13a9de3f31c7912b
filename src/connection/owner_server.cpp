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
    // The connection keeps its server alive through these callbacks until it closes.
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
    for (const PeerSubRequest &wanted : batch.requests) {
        if (m_pending.contains(wanted.id))
            continue;
        const Searcher *searcher = nullptr;
        if (service != snapshot->services.end()) {
            const auto place = service->second->byAddress.find(wanted.address);
            if (place != service->second->byAddress.end())
                searcher = &service->second->searchers[place->second];
        }
        // Only one daemon may dispatch to a searcher, so a peer with an older view is refused; it
        // tries another replica.
        if (!searcher || !searcher->owner.empty()) {
            queueEnd({wanted.id, SubRequestFailure::NotSent, {}});
            continue;
        }
        SubRequest request;
        request.id = wanted.id;
        request.kind = batch.kind;
        request.service = batch.service;
        request.upstream = searcher->state;
        request.shard = wanted.shard;
        request.indexVersion = batch.indexVersion;
        request.deadline = deadline;
        request.body = body;
        request.versionCounters = searcher->versionCounters;
        m_pending.emplace(request.id, request);
        accepted.push_back(std::move(request));
    }
    if (!accepted.empty())
        m_local.send(accepted, shared_from_this());
    keepAlive();
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
    // Nobody waits for these answers any more. Bookings run on: cancelling one would leave its
    // caller with an outcome that is still unknown.
    for (const auto &[id, request] : m_pending)
        if (request.kind == RequestKind::Search)
            m_local.cancel(request);
}

void OwnerServer::onAnswer(SubRequestAnswer answer)
{
    const SubRequestId id = answer.id;
    queueEnd({id, std::nullopt, std::move(answer)});
}

void OwnerServer::onFailure(SubRequestId id, SubRequestFailure failure)
{
    queueEnd({id, failure, {}});
}

void OwnerServer::queueEnd(PeerSubEnd end)
{
    m_pending.erase(end.id);
    m_ends.push_back(std::move(end));
    if (m_flushPosted)
        return;
    m_flushPosted = true;
    asio::post(m_context, [self = shared_from_this()] { self->flush(); });
}

void OwnerServer::flush()
{
    m_flushPosted = false;
    m_connection->send(PeerSubReply{std::exchange(m_ends, {})});
    m_lastSent = m_timers.now();
}

void OwnerServer::keepAlive()
{
    if (m_keepAliveRuns || m_pending.empty())
        return;
    m_keepAliveRuns = true;
    m_timers.schedule(KeepAlive, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_keepAliveRuns = false;
        if (!self->m_connection->isOpen() || self->m_pending.empty())
            return;
        if (self->m_timers.now() - self->m_lastSent >= KeepAlive)
            self->flush();
        self->keepAlive();
    });
}

} // namespace geraniumcart
