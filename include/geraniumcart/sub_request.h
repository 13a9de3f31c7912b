#pragma once

#include <geraniumcart/answer_counters.h>
#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream_state.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace geraniumcart {

/// Unique over all daemons for as long as an answer may be late: random upper half, counter below.
using SubRequestId = std::uint64_t;

enum class RequestKind : std::uint8_t { Search, Book };

/// Why a sub-request brought no answer.
enum class SubFailure : std::uint8_t {
    /// No byte left this process.
    NotSent,
    /// No connection could be had.
    ConnectFailed,
    /// The searcher said that it did not run the request.
    Refused,
    /// No slot or cold allowance came free before the deadline; nothing was sent.
    NoCapacity,
    /// The connection was lost after the first byte had been written.
    ConnectionLost,
    /// Nothing came back before the deadline, after the request had been written.
    TimedOut,
    Cancelled,
    /// The answer broke the protocol or belonged to another request.
    Malformed,
    /// The searcher ran the request and reported an error.
    Failed,
};

/// True where no byte of the request can have been acted upon, or the searcher itself said so.
bool isProvenNotRun(SubFailure failure);
const char *toString(SubFailure failure);

/// One request to one searcher.
struct SubRequest
{
    SubRequestId id = 0;
    RequestKind kind = RequestKind::Search;
    std::string service;
    std::shared_ptr<UpstreamState> upstream;
    /// IP:port at which the searcher's owner takes peers; empty for this daemon.
    std::string owner;
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
    /// Where the end is counted; absent while the service is under no move.
    std::shared_ptr<VersionCounters> evidence;
};

struct SubAnswer
{
    SubRequestId id = 0;
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    std::uint64_t documents = 0;
    /// The searcher's answer, a JSON value.
    std::string body;
    /// From dispatch to the last byte.
    Duration latency{};
};

/// Receives the end of each sub-request, exactly once, on the thread that sent it. Calls may come
/// after the listener has lost interest and in any order.
class SubRequestListener
{
public:
    virtual ~SubRequestListener() = default;
    virtual void onAnswer(SubAnswer answer) = 0;
    virtual void onFailure(SubRequestId id, SubFailure failure) = 0;
};

/// Carries sub-requests to searchers, itself or through the daemon that owns them. One instance
/// for each worker.
class SubRequestSender
{
public:
    virtual ~SubRequestSender() = default;
    /// Sends @p requests; each ends with one call on @p listener, never before this returns.
    virtual void send(std::span<const SubRequest> requests,
                      std::shared_ptr<SubRequestListener> listener) = 0;
    /// Gives up a sub-request; the searcher is told. It still ends with one call, as Cancelled
    /// unless an answer was faster.
    virtual void cancel(const SubRequest &request) = 0;
};

} // namespace geraniumcart
