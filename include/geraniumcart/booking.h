#pragma once

#include <geraniumcart/object_store.h>
#include <geraniumcart/replica_choice.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/sub_request.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace geraniumcart {

/// A caller's booking that passed admission control.
struct BookingRequest
{
    std::string service;
    std::string tenant;
    /// Hashed to select the shard and the replica.
    std::string routeKey;
    /// Empty if the caller sent none; the booking then makes no claim.
    std::string idempotencyKey;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
};

/// How a booking ended, as reported to the caller.
enum class BookingOutcome : std::uint8_t {
    /// A searcher ran the booking and answered.
    Done,
    /// No searcher has run the booking, nor will one run it later.
    NotRun,
    /// The booking may have run, but no answer is known.
    Unknown
};
const char *toString(BookingOutcome outcome);

struct BookingResult
{
    BookingOutcome outcome = BookingOutcome::NotRun;
    /// The searcher's answer, a JSON value; empty unless the outcome is Done.
    std::string body;
    /// Why the booking was not done, as text for people.
    std::string reason;
    /// True if the outcome belongs to an earlier request with the same idempotency key.
    bool isRepeat = false;
};

/// Result of claiming an idempotency key.
enum class ClaimState : std::uint8_t {
    /// This request holds the key and may be dispatched.
    Claimed,
    /// An earlier request claimed the key; ClaimResult::recorded holds its result.
    AlreadyClaimed,
    /// The key was claimed by a request with a different body.
    Mismatch,
    /// The store could not confirm the claim, so the request must not be dispatched.
    Unconfirmed,
};

struct ClaimResult
{
    ClaimState state = ClaimState::Unconfirmed;
    /// Result of the earlier request if the state is AlreadyClaimed. If the state is Unconfirmed,
    /// its reason may say why.
    BookingResult recorded;
    /// Nonce and object version of the stored claim if the state is Claimed. record() passes them
    /// to the store to check that the claim still belongs to this request.
    std::string nonce;
    std::uint64_t version = 0;
};

/// Claims on idempotency keys, stored as objects named `claims/{tenant}/{key}`. An instance is used
/// only on the thread of its store.
class IdempotencyClaims
{
public:
    virtual ~IdempotencyClaims() = default;
    /// Claims the key of @p request. A key whose recorded outcome is NotRun can be claimed again.
    /// If the earlier request is still running, or its outcome was never recorded, the state is
    /// AlreadyClaimed and the outcome Unknown.
    /// @param done called once, never before this returns
    virtual void claim(const BookingRequest &request, std::function<void(ClaimResult)> done) = 0;
    /// Records the outcome (Done or NotRun) of a claimed booking, provided that the stored claim
    /// still belongs to @p request. An answer longer than MaxRecordedBytes is not recorded; a
    /// repeated request then gets Unknown.
    /// @param done called when the store has confirmed the record, or after a bounded number of
    /// attempts
    virtual void record(const BookingRequest &request, const ClaimResult &claim,
                        const BookingResult &result, std::function<void()> done) = 0;
};

/// Creates claims that are kept in @p store. Both arguments must outlive them.
std::unique_ptr<IdempotencyClaims> makeIdempotencyClaims(ObjectStore &store, TimerService &timers);

/// Largest answer that is stored with a claim, in bytes. The store accepts values of up to one
/// megabyte, and encoding makes the answer longer.
inline constexpr std::size_t MaxRecordedBytes = 256 * 1024;
/// Maximum number of replicas that one booking tries. Each further replica is tried only after the
/// previous attempt is proven not to have run.
inline constexpr std::uint32_t MaxBookingAttempts = 3;
/// Maximum time that the answer to the caller waits for the store to confirm the recorded outcome.
inline constexpr std::chrono::milliseconds MaxRecordWait{50};
/// Time before the caller's deadline at which the caller is answered at the latest. The deadline of
/// sub-requests is earlier by the same amount again, so that a sub-request that was never sent can
/// still be reported as not run.
inline constexpr std::chrono::milliseconds BookingAnswerMargin{5};

/// Dependencies of a booking run. All of them must outlive it.
struct BookingContext
{
    TimerService &timers;
    SubRequestSender &sender;
    IdempotencyClaims &claims;
};

/// Runs one booking on a worker: claims the idempotency key, dispatches to one replica and records
/// the outcome. Another replica is tried only if the previous attempt is proven not to have run.
///
/// The hash of the route key, modulo the number of shards in the partition map, selects the shard.
/// The replica is chosen by weighted rendezvous hashing, so that a key stays on the same replica as
/// long as that replica is available. Each back-end version receives its share of the keys; a
/// version with share 0 receives none. An answer that arrives after the caller got `unknown` is
/// still recorded.
class BookingRun : public SubRequestListener, public std::enable_shared_from_this<BookingRun>
{
public:
    using Callback = std::function<void(BookingResult)>;
    static std::shared_ptr<BookingRun> create(BookingContext context, SnapshotPin snapshot,
                                              BookingRequest request, Callback done);
    /// Starts the booking. The callback passed to create() is called once, never before this
    /// returns.
    virtual void start() = 0;
};

} // namespace geraniumcart
