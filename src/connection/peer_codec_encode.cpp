#include "connection/peer_codec_p.h"

#include "peer_generated.h"

#include <variant>

namespace geraniumcart {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T>
using Offset = flatbuffers::Offset<T>;
template <typename T>
using Vector = flatbuffers::Vector<T>;

/// Initial size of a frame's buffer, which grows as needed.
constexpr std::size_t InitialBytes = 1024;

std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Offset<Vector<std::uint8_t>> encodeBytes(Builder &builder, const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

/// Encodes a vector of tables, row by row.
template <typename Table, typename Row, typename Encode>
Offset<Vector<Offset<Table>>> encodeRows(Builder &builder, const std::vector<Row> &rows,
                                         Encode encode)
{
    std::vector<Offset<Table>> offsets;
    offsets.reserve(rows.size());
    for (const Row &row : rows)
        offsets.push_back(encode(builder, row));
    return builder.CreateVector(offsets);
}

Offset<wire::Member> encodeMember(Builder &builder, const Member &member)
{
    return wire::CreateMemberDirect(builder, member.name.c_str(), member.zone.c_str(),
                                    member.address.c_str(), member.peerAddress.c_str(),
                                    member.incarnation, static_cast<std::uint8_t>(member.state),
                                    member.weight, member.isBusy, member.load);
}

Offset<wire::ObjectVersion> encodeVersion(Builder &builder, const ObjectVersion &version)
{
    return wire::CreateObjectVersionDirect(builder, version.key.c_str(), version.version,
                                           version.era, version.isOfEra, version.order.start,
                                           version.order.count);
}

Offset<wire::StoredObject> encodeObject(Builder &builder, const StoredObject &object)
{
    const auto key = builder.CreateString(object.key);
    const auto value = encodeBytes(builder, object.value);
    return wire::CreateStoredObject(builder, key, object.version, value, object.era, object.isOfEra,
                                    object.order.start, object.order.count);
}

Offset<wire::Evidence> encodeAnswerCounts(Builder &builder, const AnswerCounts &row)
{
    return wire::CreateEvidenceDirect(
            builder, row.daemon.c_str(), row.incarnation, row.service.c_str(), row.version.c_str(),
            static_cast<std::uint8_t>(row.route), row.good, row.bad, &row.latencyBuckets, row.lost);
}

Offset<wire::Stop> encodeStop(Builder &builder, const RolloutStop &stop)
{
    return wire::CreateStopDirect(builder, stop.service.c_str(), stop.version.c_str(),
                                  toMicroseconds(stop.by.time_since_epoch()), stop.reason.c_str());
}

Offset<wire::Gossip> encodeGossip(Builder &builder, const Gossip &gossip)
{
    const auto members = encodeRows<wire::Member>(builder, gossip.members, encodeMember);
    const auto objects = encodeRows<wire::ObjectVersion>(builder, gossip.objects, encodeVersion);
    const auto answerCounts =
            encodeRows<wire::Evidence>(builder, gossip.answerCounts, encodeAnswerCounts);
    const auto stops = encodeRows<wire::Stop>(builder, gossip.stops, encodeStop);
    return wire::CreateGossip(builder, members, objects, answerCounts, stops);
}

Offset<wire::SubEnd> encodeEnd(Builder &builder, const PeerSubEnd &end)
{
    const auto body = encodeBytes(builder, end.answer.body);
    const std::uint8_t failure = end.failure ? static_cast<std::uint8_t>(*end.failure) : NoFailure;
    return wire::CreateSubEnd(builder, end.id, failure, end.answer.shard, end.answer.indexVersion,
                              end.answer.documents, body, toMicroseconds(end.answer.latency));
}

Offset<wire::UpstreamReport> encodeReport(Builder &builder, const UpstreamReport &report)
{
    return wire::CreateUpstreamReportDirect(
            builder, report.address.c_str(), report.served.oldest, report.served.newest,
            report.warmBootId, report.isDraining, report.inFlight, toMicroseconds(report.latency));
}

/// The sub-requests of a batch go to few distinct addresses, so the frame contains each address
/// once and the sub-requests refer to it by index.
Offset<wire::SubBatch> encodeBatch(Builder &builder, const PeerSubBatch &batch)
{
    std::map<std::string, std::uint32_t> addressIndexes;
    std::vector<Offset<flatbuffers::String>> addresses;
    std::vector<wire::SubRequestRef> requests;
    for (const PeerSubRequest &request : batch.requests) {
        const auto [entry, isNew] = addressIndexes.try_emplace(
                request.address, static_cast<std::uint32_t>(addresses.size()));
        if (isNew)
            addresses.push_back(builder.CreateString(request.address));
        requests.emplace_back(request.id, request.shard, entry->second);
    }
    const auto service = builder.CreateString(batch.service);
    const auto body = encodeBytes(builder, batch.body);
    const auto addressVector = builder.CreateVector(addresses);
    const auto requestVector = builder.CreateVectorOfStructs(requests);
    return wire::CreateSubBatch(builder, static_cast<std::uint8_t>(batch.kind), service,
                                batch.indexVersion, toMicroseconds(batch.remaining), body,
                                addressVector, requestVector);
}

/// Builds the body for each kind of message and sets its type.
struct BodyEncoder
{
    Builder &builder;
    wire::Body kind = wire::Body::NONE;

    Offset<void> operator()(const PeerHello &hello)
    {
        kind = wire::Body::Hello;
        const auto self = encodeMember(builder, hello.self);
        const auto plane = static_cast<std::uint8_t>(hello.plane);
        return wire::CreateHelloDirect(builder, self, hello.cell.c_str(), plane).Union();
    }
    Offset<void> operator()(const PeerPing &ping)
    {
        kind = wire::Body::Ping;
        return wire::CreatePing(builder, ping.sequence, encodeGossip(builder, ping.gossip)).Union();
    }
    Offset<void> operator()(const PeerAck &ack)
    {
        kind = wire::Body::Ack;
        const auto gossip = encodeGossip(builder, ack.gossip);
        return wire::CreateAckDirect(builder, ack.sequence, ack.target.c_str(), gossip).Union();
    }
    Offset<void> operator()(const PeerPingRequest &request)
    {
        kind = wire::Body::PingRequest;
        const auto gossip = encodeGossip(builder, request.gossip);
        return wire::CreatePingRequestDirect(builder, request.sequence, request.target.c_str(),
                                             gossip)
                .Union();
    }
    Offset<void> operator()(const PeerObjectPull &pull)
    {
        kind = wire::Body::ObjectPull;
        const auto wanted = encodeRows<wire::ObjectVersion>(builder, pull.wanted, encodeVersion);
        return wire::CreateObjectPull(builder, wanted, pull.isFullCopyWanted).Union();
    }
    Offset<void> operator()(const PeerObjectPush &push)
    {
        kind = wire::Body::ObjectPush;
        const auto objects = encodeRows<wire::StoredObject>(builder, push.objects, encodeObject);
        return wire::CreateObjectPush(builder, objects, push.isCompleteCopy).Union();
    }
    Offset<void> operator()(const PeerStateHeartbeat &heartbeat)
    {
        kind = wire::Body::FleetBeat;
        return wire::CreateFleetBeat(builder, heartbeat.digest, toMicroseconds(heartbeat.validFor))
                .Union();
    }
    Offset<void> operator()(const PeerSubBatch &batch)
    {
        kind = wire::Body::SubBatch;
        return encodeBatch(builder, batch).Union();
    }
    Offset<void> operator()(const PeerSubReply &reply)
    {
        kind = wire::Body::SubReply;
        const auto ends = encodeRows<wire::SubEnd>(builder, reply.ends, encodeEnd);
        return wire::CreateSubReply(builder, ends).Union();
    }
    Offset<void> operator()(const PeerSubCancel &cancel)
    {
        kind = wire::Body::SubCancel;
        return wire::CreateSubCancelDirect(builder, &cancel.ids).Union();
    }
    Offset<void> operator()(const PeerUpstreamReports &reports)
    {
        kind = wire::Body::UpstreamReports;
        const auto rows = encodeRows<wire::UpstreamReport>(builder, reports.reports, encodeReport);
        return wire::CreateUpstreamReports(builder, rows).Union();
    }
    Offset<void> operator()(const PeerRelease &release)
    {
        kind = wire::Body::Release;
        return wire::CreateReleaseDirect(builder, release.daemon.c_str(), release.incarnation)
                .Union();
    }
};

} // namespace

std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message)
{
    Builder builder(InitialBytes);
    BodyEncoder encoder{builder};
    const Offset<void> body = std::visit(encoder, message);
    builder.Finish(wire::CreateFrame(builder, encoder.kind, body));
    // FlatBuffers could write the prefix, but would then align the fields relative to it. The
    // receiver reads the prefix separately, so the verifier would find such a frame misaligned.
    const auto size = static_cast<std::uint32_t>(builder.GetSize());
    std::vector<std::uint8_t> frame;
    frame.reserve(size + 4);
    for (int shift = 0; shift < 32; shift += 8)
        frame.push_back(static_cast<std::uint8_t>(size >> shift));
    frame.insert(frame.end(), builder.GetBufferPointer(), builder.GetBufferPointer() + size);
    return frame;
}

} // namespace geraniumcart
