#pragma once

#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// A caller's request, forwarded to a searcher unchanged.
struct ForwardRequest
{
    /// Chosen by the caller; searchers echo it.
    std::string id;
    std::string method;
    /// Path and query.
    std::string target;
    /// End-to-end header fields, in the caller's order; hop-by-hop fields are left out.
    std::vector<HeaderField> headers;
    std::string body;
    bool hasBody = false;
};

/// A searcher's complete answer.
struct UpstreamReply
{
    std::uint32_t status = 0;
    std::string reason;
    /// End-to-end header fields; hop-by-hop fields are left out.
    std::vector<HeaderField> headers;
    std::string body;
    /// False for the answer to a HEAD request, which has no body.
    bool hasBody = true;
    /// Length that an answer without a body states for the body that GET would get, if it does.
    std::optional<std::uint64_t> statedLength;
    /// The searcher's signature of this answer; empty if there is none.
    std::string signature;
    /// The searcher reported that it did not run the request.
    bool isNotRun = false;
    /// The answer came from a different searcher than the request was addressed to. Implies
    /// isNotRun.
    bool isOtherInstance = false;
    /// The searcher announced that it is about to stop.
    bool isLeaving = false;
    /// Time for which the searcher wants no further request; zero if it stated none.
    Duration pause{};
    /// Requests per second that the searcher takes from all daemons together, if it stated a limit.
    std::optional<double> rateLimit;
    /// The searcher stated a limit that is not a number. It takes back no earlier limit.
    bool isRateLimitUnreadable = false;
    /// Instance that the searcher names itself in answers about its health; empty in others.
    std::string instanceId;
    /// How long the searcher stays cold, if it stated that.
    std::optional<Duration> remainingWarmUp;
    /// The searcher stated something else than a time for that.
    bool isWarmUpUnreadable = false;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

/// Why an exchange ended without an answer.
enum class ExchangeFailure : std::uint8_t {
    /// No byte of the request was written, so the searcher cannot have run it.
    NotSent,
    /// The connection closed before the answer was complete.
    Lost,
    /// The received bytes are not a valid answer to this request.
    Malformed,
    /// The deadline passed without a complete answer.
    TimedOut,
    /// This process closed the connection itself, not because of a fault.
    Cancelled,
};
const char *toString(ExchangeFailure failure);

/// Identifies one exchange of a worker; 0 is never used.
using ExchangeId = std::uint64_t;

/// Notified exactly once when an exchange ends, with its answer or its failure. Called on the
/// worker that sent the request, never before send() returns. Not called for a cancelled exchange.
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    virtual void onReply(ExchangeId id, UpstreamReply reply) = 0;
    virtual void onFailure(ExchangeId id, ExchangeFailure failure) = 0;
};

/// Sends requests to searchers. Each worker has its own instance.
class UpstreamTransport
{
public:
    virtual ~UpstreamTransport() = default;
    /// @param connections maximum number of connections of this worker to @p upstream
    /// @return true if a request can be written now or as soon as a connection opens
    virtual bool hasCapacity(const Upstream &upstream, std::uint32_t connections) const = 0;
    /// Sends @p request. hasCapacity() must be true.
    /// @param deadline passed on to the searcher, which stops work at that time; if no answer
    /// arrives, the exchange ends shortly after the deadline
    /// @return id of the exchange for cancel() and the listener
    virtual ExchangeId send(const std::shared_ptr<Upstream> &upstream,
                            std::shared_ptr<const ForwardRequest> request, TimePoint deadline,
                            std::shared_ptr<ExchangeListener> listener) = 0;
    /// Ends an exchange immediately by closing its connection, which makes the searcher stop work.
    /// The listener is not notified.
    virtual void cancel(ExchangeId id) = 0;
    /// Opens a connection to @p upstream in advance, unless one exists already. Asks a searcher
    /// that may have become cold whether it is, on a connection that is idle.
    virtual void warmUp(const std::shared_ptr<Upstream> &upstream) = 0;
};

} // namespace geraniumcart
