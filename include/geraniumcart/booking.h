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

/// A caller's booking, after admission.
struct BookingRequest
{
    std::string service;
    std::string tenant;
    /// Selects the shard.
    std::string routeKey;
    /// Empty where the caller gave none.
    std::string idempotencyKey;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
};

enum class BookingOutcome : std::uint8_t { Done, NotRun, Unknown };
const char *toString(BookingOutcome outcome);

struct BookingResult
{
    BookingOutcome outcome = BookingOutcome::NotRun;
    /// The searcher's answer, a JSON value; empty unless done.
    std::string body;
    std::string reason;
    /// True where the outcome was recorded by an earlier request with the same key.
    bool isRepeat = false;
};

enum class ClaimState : std::uint8_t {
    /// The key is ours; dispatch may start.
    Claimed,
    /// Another request holds or held the key; its recorded result is given.
    Taken,
    /// The same key came with a different body.
    Mismatch,
    /// The store could not confirm the claim; nothing may be dispatched.
    Unconfirmed,
};

struct ClaimResult
{
    ClaimState state = ClaimState::Unconfirmed;
    BookingResult recorded;
    /// Nonce and object version of a claim that is ours; record() needs them.
    std::string nonce;
    std::uint64_t version = 0;
};

/// Claims on idempotency keys, kept in the store as `claims/{tenant}/{key}`. An instance belongs to
/// the thread of its store.
class IdempotencyClaims
{
public:
    virtual ~IdempotencyClaims() = default;
    /// Calls @p done once, never before this returns. A key whose record says NotRun may be claimed
    /// again; one that still runs, or whose end was not recorded, is Taken with outcome Unknown.
    virtual void claim(const BookingRequest &request, std::function<void(ClaimResult)> done) = 0;
    /// Records the end (Done or NotRun) of a claimed booking, on condition that the claim is still
    /// ours. @p done runs when the store confirmed it or after a bounded number of attempts. An
    /// answer longer than MaxRecordedBytes is not recorded, so that a repeat gets Unknown.
    virtual void record(const BookingRequest &request, const ClaimResult &claim,
                        const BookingResult &result, std::function<void()> done) = 0;
};

std::unique_ptr<IdempotencyClaims> makeIdempotencyClaims(ObjectStore &store, TimerService &timers);

/// Largest answer kept with a claim, in bytes. The store holds values up to one megabyte, and the
/// answer grows when it is encoded.
inline constexpr std::size_t MaxRecordedBytes = 256 * 1024;
/// Most replicas that one booking tries, each after a proven not-run.
inline constexpr std::uint32_t MaxBookingAttempts = 3;
/// The answer waits at most this long for its record to be confirmed.
inline constexpr std::chrono::milliseconds MaxRecordWait{50};
/// The answer is given this long before the caller's deadline. Sub-requests end earlier by as much
/// again, so that a sub-request that was never sent is still reported as not run.
inline constexpr std::chrono::milliseconds BookingAnswerMargin{5};

struct BookingContext
{
    TimerService &timers;
    SubRequestSender &sender;
    IdempotencyClaims &claims;
};

/// One booking: claim, one dispatch, record. A further attempt is made only after a proven not-run.
/// The shard is the hash of the route key over the partition map; the replica is chosen by
/// rendezvous hashing, so that a key stays with one replica while that lives. Back-end versions get
/// their share of the keys, and one with share 0 none. An answer that comes after the caller was
/// told `unknown` is still recorded.
class BookingRun : public SubRequestListener, public std::enable_shared_from_this<BookingRun>
{
public:
    using Callback = std::function<void(BookingResult)>;
    static std::shared_ptr<BookingRun> create(BookingContext context, SnapshotPin snapshot,
                                              BookingRequest request, Callback done);
    /// @p done of create() is called once, never before this returns.
    virtual void start() = 0;
};

} // namespace geraniumcart
