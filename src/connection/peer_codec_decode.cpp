#include "connection/peer_codec_p.h"

#include "peer_generated.h"

#include <geraniumcart/config.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <map>

namespace geraniumcart {

namespace {

template <typename T>
using Offset = flatbuffers::Offset<T>;
template <typename T>
using Vector = flatbuffers::Vector<T>;

/// Limits of the verifier. The schema nests tables five levels deep, and a batch has a few thousand
/// rows at most.
constexpr flatbuffers::uoffset_t MaxDepth = 16;
constexpr flatbuffers::uoffset_t MaxTables = 1'000'000;
/// Greatest absolute value of a duration in a frame. Without a limit, adding a duration to the
/// current time could overflow.
constexpr std::chrono::microseconds MaxDuration = std::chrono::hours(24 * 365);

std::string decodeBytes(const Vector<std::uint8_t> *bytes)
{
    return bytes ? std::string(reinterpret_cast<const char *>(bytes->data()), bytes->size())
                 : std::string();
}

static_assert(std::endian::native == std::endian::little,
              "vectors are copied without byte swapping");

/// Copies the numbers, because the verifier checks the alignment of a vector's length field but not
/// that of its elements.
void decodeNumbers(const Vector<std::uint64_t> *numbers, std::vector<std::uint64_t> &out)
{
    if (!numbers || numbers->size() == 0)
        return;
    out.resize(numbers->size());
    std::memcpy(out.data(), numbers->Data(), out.size() * sizeof(std::uint64_t));
}

/// @return false if the text contains a NUL byte: strings are encoded as C strings, which end there
bool decodeString(const flatbuffers::String *text, std::string &out)
{
    out = text ? text->str() : std::string();
    return out.find('\0') == std::string::npos;
}

/// @return false if the absolute duration is greater than MaxDuration
bool decodeDuration(std::int64_t microseconds, Duration &out)
{
    if (microseconds > MaxDuration.count() || microseconds < -MaxDuration.count())
        return false;
    out = std::chrono::microseconds(microseconds);
    return true;
}

/// @return false if the time is before 1970 or later than the clock can represent
bool decodeTime(std::int64_t microseconds, WallTime &out)
{
    // Compared in microseconds, because converting a large value to the clock's nanoseconds would
    // overflow.
    constexpr auto Latest = std::chrono::duration_cast<std::chrono::microseconds>(
            WallTime::max().time_since_epoch());
    if (microseconds < 0 || microseconds > Latest.count())
        return false;
    out = WallTime(std::chrono::microseconds(microseconds));
    return true;
}

/// Decodes a vector of tables. @return false if a field of a row is out of range.
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

bool decodeMember(const wire::Member &member, Member &out)
{
    if (member.state() > static_cast<std::uint8_t>(MemberState::Dead))
        return false;
    out.incarnation = member.incarnation();
    out.state = static_cast<MemberState>(member.state());
    out.weight = member.weight();
    out.isBusy = member.busy();
    out.load = member.load();
    return decodeString(member.name(), out.name) && decodeString(member.zone(), out.zone) &&
           decodeString(member.address(), out.address) &&
           decodeString(member.peer_address(), out.peerAddress) && !out.name.empty() &&
           !out.peerAddress.empty();
}

bool decodeVersion(const wire::ObjectVersion &version, ObjectVersion &out)
{
    out.version = version.version();
    out.era = version.era();
    out.isOfEra = version.of_era();
    out.order = {version.writer_start(), version.writer_count()};
    return decodeString(version.key(), out.key) && !out.key.empty();
}

bool decodeObject(const wire::StoredObject &object, StoredObject &out)
{
    out.version = object.version();
    out.era = object.era();
    out.isOfEra = object.of_era();
    out.order = {object.writer_start(), object.writer_count()};
    out.value = decodeBytes(object.value());
    return decodeString(object.key(), out.key) && !out.key.empty();
}

bool decodeKind(std::uint8_t kind, RequestKind &out)
{
    out = static_cast<RequestKind>(kind);
    return kind <= static_cast<std::uint8_t>(RequestKind::Book);
}

bool decodeAnswerCounts(const wire::Evidence &row, AnswerCounts &out)
{
    out.incarnation = row.incarnation();
    out.good = row.good();
    out.bad = row.bad();
    out.lost = row.lost();
    decodeNumbers(row.latency_buckets(), out.latencyBuckets);
    return decodeString(row.daemon(), out.daemon) && decodeString(row.service(), out.service) &&
           decodeString(row.version(), out.version) && decodeKind(row.route(), out.route);
}

bool decodeStop(const wire::Stop &stop, RolloutStop &out)
{
    return decodeString(stop.service(), out.service) && decodeString(stop.version(), out.version) &&
           decodeTime(stop.by_us(), out.by) && decodeString(stop.reason(), out.reason);
}

bool decodeGossip(const wire::Gossip *gossip, Gossip &out)
{
    if (!gossip)
        return true;
    return decodeRows(gossip->members(), out.members, decodeMember) &&
           decodeRows(gossip->objects(), out.objects, decodeVersion) &&
           decodeRows(gossip->evidence(), out.answerCounts, decodeAnswerCounts) &&
           decodeRows(gossip->stops(), out.stops, decodeStop);
}

bool decodeEnd(const wire::SubEnd &end, PeerSubEnd &out)
{
    out.id = end.id();
    if (end.failure() != NoFailure) {
        out.failure = static_cast<SubRequestFailure>(end.failure());
        return end.failure() <= static_cast<std::uint8_t>(SubRequestFailure::Failed);
    }
    out.answer = {
            end.id(), end.shard(), end.index_version(), end.documents(), decodeBytes(end.body()),
            {}};
    return decodeDuration(end.latency_us(), out.answer.latency);
}

bool decodeReport(const wire::UpstreamReport &report, UpstreamReport &out)
{
    out.served = {report.oldest(), report.newest()};
    out.warmBootId = report.warm_boot_id();
    out.isDraining = report.draining();
    out.inFlight = report.in_flight();
    return decodeString(report.address(), out.address) && !out.address.empty() &&
           decodeDuration(report.latency_us(), out.latency);
}

bool decodeBatch(const wire::SubBatch &batch, PeerSubBatch &out)
{
    out.indexVersion = batch.index_version();
    out.body = decodeBytes(batch.body());
    if (!decodeString(batch.service(), out.service) ||
        !decodeDuration(batch.remaining_us(), out.remaining) ||
        !decodeKind(batch.kind(), out.kind) || !batch.requests() || !batch.addresses())
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

std::optional<PeerMessage> decodeStateHeartbeat(const wire::FleetBeat &heartbeat)
{
    PeerStateHeartbeat out{heartbeat.digest(), {}};
    if (!decodeDuration(heartbeat.valid_for_us(), out.validFor))
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

/// @return the message of a frame, or std::nullopt if a field is out of range
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
        return decodeStateHeartbeat(*frame.body_as_FleetBeat());
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
