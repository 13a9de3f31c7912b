#include "connection/peer_codec_p.h"

#include "peer_generated.h"

#include <geraniumcart/config.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <map>

namespace geraniumcart {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T>
using Offset = flatbuffers::Offset<T>;
template <typename T>
using Vector = flatbuffers::Vector<T>;

constexpr std::size_t InitialBytes = 1024;
/// Verifier limits: the schema nests five tables deep; a batch has a few thousand rows at most.
constexpr flatbuffers::uoffset_t MaxDepth = 16;
constexpr flatbuffers::uoffset_t MaxTables = 1'000'000;
constexpr std::uint8_t NoFailure = 255;
/// Longest duration either way that a frame may state; keeps sums with the current time from
/// overflow.
constexpr std::chrono::microseconds MaxSpan = std::chrono::hours(24 * 365);

std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Offset<Vector<std::uint8_t>> encodeBytes(Builder &builder, const std::string &bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

std::string decodeBytes(const Vector<std::uint8_t> *bytes)
{
    return bytes ? std::string(reinterpret_cast<const char *>(bytes->data()), bytes->size())
                 : std::string();
}

static_assert(std::endian::native == std::endian::little, "vectors are copied as they stand");

/// Copies, because the verifier checks the alignment of a vector's length but not of its numbers.
void decodeNumbers(const Vector<std::uint64_t> *numbers, std::vector<std::uint64_t> &out)
{
    if (!numbers || numbers->size() == 0)
        return;
    out.resize(numbers->size());
    std::memcpy(out.data(), numbers->Data(), out.size() * sizeof(std::uint64_t));
}

/// False if the text holds a NUL byte, at which encoding as a C string would cut it.
bool decodeString(const flatbuffers::String *text, std::string &out)
{
    out = text ? text->str() : std::string();
    return out.find('\0') == std::string::npos;
}

/// False if the duration is longer than MaxSpan.
bool decodeSpan(std::int64_t microseconds, Duration &out)
{
    if (microseconds > MaxSpan.count() || microseconds < -MaxSpan.count())
        return false;
    out = std::chrono::microseconds(microseconds);
    return true;
}

/// False if the time is before 1970 or past the end of the clock.
bool decodeTime(std::int64_t microseconds, WallTime &out)
{
    if (microseconds < 0 || microseconds > toMicroseconds(WallTime::max().time_since_epoch()))
        return false;
    out = WallTime(std::chrono::microseconds(microseconds));
    return true;
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

/// Decodes a vector of tables; false if a row is out of range.
template <typename Table, typename Row, typename Decode>
bool decodeRows(const Vector<Offset<Table>> *rows, std::vector<Row> &out, Decode decode)
{
    if (!rows)
        return true;
    out.reserve(rows->size());
    for (const Table *row : *rows)
        if (!decode(*row, out.emplace_back()))
            return false;
    return true;
}

Offset<wire::Member> encodeMember(Builder &builder, const Member &member)
{
    return wire::CreateMemberDirect(builder, member.name.c_str(), member.zone.c_str(),
                                    member.address.c_str(), member.peerAddress.c_str(),
                                    member.incarnation, static_cast<std::uint8_t>(member.state),
                                    member.weight, member.isBusy);
}

bool decodeMember(const wire::Member &member, Member &out)
{
    if (member.state() > static_cast<std::uint8_t>(MemberState::Dead))
        return false;
    out.incarnation = member.incarnation();
    out.state = static_cast<MemberState>(member.state());
    out.weight = member.weight();
    out.isBusy = member.busy();
    return decodeString(member.name(), out.name) && decodeString(member.zone(), out.zone) &&
           decodeString(member.address(), out.address) &&
           decodeString(member.peer_address(), out.peerAddress) && !out.name.empty() &&
           !out.peerAddress.empty();
}

Offset<wire::ObjectVersion> encodeVersion(Builder &builder, const ObjectVersion &version)
{
    return wire::CreateObjectVersionDirect(builder, version.key.c_str(), version.version);
}

bool decodeVersion(const wire::ObjectVersion &version, ObjectVersion &out)
{
    out.version = version.version();
    return decodeString(version.key(), out.key) && !out.key.empty();
}

Offset<wire::StoredObject> encodeObject(Builder &builder, const StoredObject &object)
{
    const auto key = builder.CreateString(object.key);
    const auto value = encodeBytes(builder, object.value);
    return wire::CreateStoredObject(builder, key, object.version, value);
}

bool decodeObject(const wire::StoredObject &object, StoredObject &out)
{
    out.version = object.version();
    out.value = decodeBytes(object.value());
    return decodeString(object.key(), out.key) && !out.key.empty();
}

Offset<wire::Evidence> encodeEvidence(Builder &builder, const EvidenceRow &row)
{
    return wire::CreateEvidenceDirect(
            builder, row.daemon.c_str(), row.incarnation, row.service.c_str(), row.version.c_str(),
            static_cast<std::uint8_t>(row.route), row.good, row.bad, &row.latencyBuckets);
}

bool decodeKind(std::uint8_t kind, RequestKind &out)
{
    out = static_cast<RequestKind>(kind);
    return kind <= static_cast<std::uint8_t>(RequestKind::Book);
}

bool decodeEvidence(const wire::Evidence &row, EvidenceRow &out)
{
    out.incarnation = row.incarnation();
    out.good = row.good();
    out.bad = row.bad();
    decodeNumbers(row.latency_buckets(), out.latencyBuckets);
    return decodeString(row.daemon(), out.daemon) && decodeString(row.service(), out.service) &&
           decodeString(row.version(), out.version) && decodeKind(row.route(), out.route);
}

Offset<wire::Stop> encodeStop(Builder &builder, const RolloutStop &stop)
{
    return wire::CreateStopDirect(builder, stop.service.c_str(), stop.version.c_str(),
                                  toMicroseconds(stop.by.time_since_epoch()), stop.reason.c_str());
}

bool decodeStop(const wire::Stop &stop, RolloutStop &out)
{
    return decodeString(stop.service(), out.service) && decodeString(stop.version(), out.version) &&
           decodeTime(stop.by_us(), out.by) && decodeString(stop.reason(), out.reason);
}

Offset<wire::Gossip> encodeGossip(Builder &builder, const Gossip &gossip)
{
    const auto members = encodeRows<wire::Member>(builder, gossip.members, encodeMember);
    const auto objects = encodeRows<wire::ObjectVersion>(builder, gossip.objects, encodeVersion);
    const auto evidence = encodeRows<wire::Evidence>(builder, gossip.evidence, encodeEvidence);
    const auto stops = encodeRows<wire::Stop>(builder, gossip.stops, encodeStop);
    return wire::CreateGossip(builder, members, objects, evidence, stops);
}

bool decodeGossip(const wire::Gossip *gossip, Gossip &out)
{
    if (!gossip)
        return true;
    return decodeRows(gossip->members(), out.members, decodeMember) &&
           decodeRows(gossip->objects(), out.objects, decodeVersion) &&
           decodeRows(gossip->evidence(), out.evidence, decodeEvidence) &&
           decodeRows(gossip->stops(), out.stops, decodeStop);
}

Offset<wire::SubEnd> encodeEnd(Builder &builder, const PeerSubEnd &end)
{
    const auto body = encodeBytes(builder, end.answer.body);
    const std::uint8_t failure = end.failure ? static_cast<std::uint8_t>(*end.failure) : NoFailure;
    return wire::CreateSubEnd(builder, end.id, failure, end.answer.shard, end.answer.indexVersion,
                              end.answer.documents, body, toMicroseconds(end.answer.latency));
}

bool decodeEnd(const wire::SubEnd &end, PeerSubEnd &out)
{
    out.id = end.id();
    if (end.failure() != NoFailure) {
        out.failure = static_cast<SubFailure>(end.failure());
        return end.failure() <= static_cast<std::uint8_t>(SubFailure::Failed);
    }
    out.answer = {
            end.id(), end.shard(), end.index_version(), end.documents(), decodeBytes(end.body()),
            {}};
    return decodeSpan(end.latency_us(), out.answer.latency);
}

Offset<wire::UpstreamReport> encodeReport(Builder &builder, const UpstreamReport &report)
{
    return wire::CreateUpstreamReportDirect(
            builder, report.address.c_str(), report.served.oldest, report.served.newest,
            report.warmBootId, report.isDraining, report.inFlight, toMicroseconds(report.latency));
}

bool decodeReport(const wire::UpstreamReport &report, UpstreamReport &out)
{
    out.served = {report.oldest(), report.newest()};
    out.warmBootId = report.warm_boot_id();
    out.isDraining = report.draining();
    out.inFlight = report.in_flight();
    return decodeString(report.address(), out.address) && !out.address.empty() &&
           decodeSpan(report.latency_us(), out.latency);
}

/// Replicas of a batch repeat few addresses, so the frame carries each address once.
Offset<wire::SubBatch> encodeBatch(Builder &builder, const PeerSubBatch &batch)
{
    std::map<std::string, std::uint32_t> indexOf;
    std::vector<Offset<flatbuffers::String>> addresses;
    std::vector<wire::SubRequestRef> requests;
    for (const PeerSubRequest &request : batch.requests) {
        const auto [place, isNew] =
                indexOf.try_emplace(request.address, static_cast<std::uint32_t>(addresses.size()));
        if (isNew)
            addresses.push_back(builder.CreateString(request.address));
        requests.emplace_back(request.id, request.shard, place->second);
    }
    const auto service = builder.CreateString(batch.service);
    const auto body = encodeBytes(builder, batch.body);
    const auto addressVector = builder.CreateVector(addresses);
    const auto requestVector = builder.CreateVectorOfStructs(requests);
    return wire::CreateSubBatch(builder, static_cast<std::uint8_t>(batch.kind), service,
                                batch.indexVersion, toMicroseconds(batch.remaining), body,
                                addressVector, requestVector);
}

bool decodeBatch(const wire::SubBatch &batch, PeerSubBatch &out)
{
    out.indexVersion = batch.index_version();
    out.body = decodeBytes(batch.body());
    if (!decodeString(batch.service(), out.service) ||
        !decodeSpan(batch.remaining_us(), out.remaining) || !decodeKind(batch.kind(), out.kind) ||
        !batch.requests() || !batch.addresses())
        return false;
    for (std::size_t i = 0; i < batch.requests()->size(); ++i) {
        // Copied for the same reason as in decodeNumbers().
        wire::SubRequestRef request;
        std::memcpy(&request, batch.requests()->Data() + i * sizeof(request), sizeof(request));
        if (request.address() >= batch.addresses()->size())
            return false;
        PeerSubRequest &row = out.requests.emplace_back();
        row.id = request.id();
        row.shard = request.shard();
        if (!decodeString(batch.addresses()->Get(request.address()), row.address))
            return false;
    }
    return true;
}

/// Builds the body of each message kind.
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
        return wire::CreateObjectPull(builder, wanted, pull.everything).Union();
    }
    Offset<void> operator()(const PeerObjectPush &push)
    {
        kind = wire::Body::ObjectPush;
        const auto objects = encodeRows<wire::StoredObject>(builder, push.objects, encodeObject);
        return wire::CreateObjectPush(builder, objects, push.isCompleteCopy).Union();
    }
    Offset<void> operator()(const PeerFleetBeat &beat)
    {
        kind = wire::Body::FleetBeat;
        return wire::CreateFleetBeat(builder, beat.digest).Union();
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

std::optional<PeerMessage> decodeHello(const wire::Hello &hello)
{
    PeerHello out;
    if (!hello.self() || !decodeMember(*hello.self(), out.self))
        return std::nullopt;
    out.plane = static_cast<PeerPlane>(hello.plane());
    if (!decodeString(hello.cell(), out.cell) || out.plane > PeerPlane::Data)
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodePing(const wire::Ping &ping)
{
    PeerPing out{ping.sequence(), {}};
    if (!decodeGossip(ping.gossip(), out.gossip))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodeAck(const wire::Ack &ack)
{
    PeerAck out{ack.sequence(), {}, {}};
    if (!decodeString(ack.target(), out.target) || !decodeGossip(ack.gossip(), out.gossip))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodePingRequest(const wire::PingRequest &request)
{
    PeerPingRequest out{request.sequence(), {}, {}};
    if (!decodeString(request.target(), out.target) || !decodeGossip(request.gossip(), out.gossip))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodePull(const wire::ObjectPull &pull)
{
    PeerObjectPull out{{}, pull.everything()};
    if (!decodeRows(pull.wanted(), out.wanted, decodeVersion))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodePush(const wire::ObjectPush &push)
{
    PeerObjectPush out{{}, push.complete_copy()};
    if (!decodeRows(push.objects(), out.objects, decodeObject))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodeSubBatch(const wire::SubBatch &batch)
{
    PeerSubBatch out;
    if (!decodeBatch(batch, out))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodeSubReply(const wire::SubReply &reply)
{
    PeerSubReply out;
    if (!decodeRows(reply.ends(), out.ends, decodeEnd))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodeReports(const wire::UpstreamReports &reports)
{
    PeerUpstreamReports out;
    if (!decodeRows(reports.reports(), out.reports, decodeReport))
        return std::nullopt;
    return out;
}

PeerMessage decodeCancel(const wire::SubCancel &cancel)
{
    PeerSubCancel out;
    decodeNumbers(cancel.ids(), out.ids);
    return out;
}

std::optional<PeerMessage> decodeRelease(const wire::Release &release)
{
    PeerRelease out{{}, release.incarnation()};
    if (!decodeString(release.daemon(), out.daemon))
        return std::nullopt;
    return out;
}

std::optional<PeerMessage> decodeBody(const wire::Frame &frame)
{
    switch (frame.body_type()) {
    case wire::Body::Hello:
        return decodeHello(*frame.body_as_Hello());
    case wire::Body::Ping:
        return decodePing(*frame.body_as_Ping());
    case wire::Body::Ack:
        return decodeAck(*frame.body_as_Ack());
    case wire::Body::PingRequest:
        return decodePingRequest(*frame.body_as_PingRequest());
    case wire::Body::ObjectPull:
        return decodePull(*frame.body_as_ObjectPull());
    case wire::Body::ObjectPush:
        return decodePush(*frame.body_as_ObjectPush());
    case wire::Body::SubBatch:
        return decodeSubBatch(*frame.body_as_SubBatch());
    case wire::Body::SubReply:
        return decodeSubReply(*frame.body_as_SubReply());
    case wire::Body::SubCancel:
        return decodeCancel(*frame.body_as_SubCancel());
    case wire::Body::UpstreamReports:
        return decodeReports(*frame.body_as_UpstreamReports());
    case wire::Body::Release:
        return decodeRelease(*frame.body_as_Release());
    case wire::Body::FleetBeat:
        return PeerFleetBeat{frame.body_as_FleetBeat()->digest()};
    case wire::Body::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace

const char *toString(FrameError error)
{
    switch (error) {
    case FrameError::None:
        return "none";
    case FrameError::TooLong:
        return "tooLong";
    case FrameError::Malformed:
        return "malformed";
    case FrameError::UnknownKind:
        return "unknownKind";
    case FrameError::BadField:
        return "badField";
    }
    return "unknown";
}

std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message)
{
    Builder builder(InitialBytes);
    BodyEncoder encoder{builder};
    const Offset<void> body = std::visit(encoder, message);
    builder.Finish(wire::CreateFrame(builder, encoder.kind, body));
    // FlatBuffers' own size prefix would shift the alignment that the verifier checks once the
    // receiver has read the prefix on its own.
    const auto size = static_cast<std::uint32_t>(builder.GetSize());
    std::vector<std::uint8_t> frame;
    frame.reserve(size + 4);
    for (int shift = 0; shift < 32; shift += 8)
        frame.push_back(static_cast<std::uint8_t>(size >> shift));
    frame.insert(frame.end(), builder.GetBufferPointer(), builder.GetBufferPointer() + size);
    return frame;
}

std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> frame, FrameError &error)
{
    error = FrameError::None;
    if (frame.size() > MaxFrameBytes) {
        error = FrameError::TooLong;
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(frame.data(), frame.size(), MaxDepth, MaxTables);
    if (!wire::VerifyFrameBuffer(verifier)) {
        error = FrameError::Malformed;
        return std::nullopt;
    }
    const wire::Frame &root = *wire::GetFrame(frame.data());
    if (!root.body() || root.body_type() == wire::Body::NONE ||
        root.body_type() > wire::Body::MAX) {
        error = FrameError::UnknownKind;
        return std::nullopt;
    }
    std::optional<PeerMessage> message = decodeBody(root);
    if (!message)
        error = FrameError::BadField;
    return message;
}

std::optional<std::uint32_t> decodeFrameLength(std::span<const std::uint8_t, 4> prefix)
{
    const std::uint32_t length = static_cast<std::uint32_t>(prefix[0]) |
                                 static_cast<std::uint32_t>(prefix[1]) << 8 |
                                 static_cast<std::uint32_t>(prefix[2]) << 16 |
                                 static_cast<std::uint32_t>(prefix[3]) << 24;
    if (length > MaxFrameBytes)
        return std::nullopt;
    return length;
}

} // namespace geraniumcart
