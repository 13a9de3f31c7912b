#include <geraniumcart/booking.h>
#include <geraniumcart/invariants.h>
#include <geraniumcart/search.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumcart {

namespace {

constexpr const char *NoReplica = "no replica";

class Run final : public BookingRun
{
public:
    Run(BookingContext context, SnapshotPin snapshot, BookingRequest request, Callback done)
        : m_context(context)
        , m_snapshot(std::move(snapshot))
        , m_request(std::move(request))
        , m_done(std::move(done))
    {
    }

    void start() override;
    void onAnswer(SubRequestAnswer answer) override;
    void onFailure(SubRequestId id, SubRequestFailure failure) override;

private:
    enum class AttemptState : std::uint8_t { Open, NotRun, MayHaveRun, Answered };

    struct Attempt
    {
        SubRequestId id = 0;
        std::uint32_t replica = 0;
        AttemptState state = AttemptState::Open;
    };

    bool usesClaim() const { return !m_request.idempotencyKey.empty(); }
    std::shared_ptr<Run> self() { return std::static_pointer_cast<Run>(shared_from_this()); }
    /// Answers NotRun on a later turn of the event loop, since start() must not call the callback.
    void scheduleRefusal(const char *reason);
    void onClaim(ClaimResult result);
    /// Sends the booking to one more replica, or ends it as NotRun if that is not possible.
    void dispatch();
    /// @return an untried replica of the shard, or nullopt if none can be used
    std::optional<std::uint32_t> chooseReplica() const;
    Attempt *find(SubRequestId id);
    bool isProvenNotRunSoFar() const;
    void onDeadline();
    /// Records the outcome if there is a claim, and answers when the store has confirmed the record
    /// or MaxRecordWait has passed.
    void end(BookingResult result);
    /// Calls the callback, unless it has been called already.
    void answer(BookingResult result);

    BookingContext m_context;
    SnapshotPin m_snapshot;
    BookingRequest m_request;
    Callback m_done;
    const ServiceRouting *m_service = nullptr;
    std::uint64_t m_routeHash = 0;
    std::uint32_t m_shard = 0;
    /// BookingAnswerMargin, or less if the deadline is close.
    Duration m_margin{};
    std::optional<ClaimResult> m_claim;
    std::vector<Attempt> m_attempts;
    TimerId m_deadlineTimer = 0;
    bool m_answered = false;
    /// The outcome, once its recording has started.
    std::optional<BookingResult> m_result;
};

void Run::start()
{
    const TimePoint now = m_context.timers.now();
    const auto service = m_snapshot->services.find(m_request.service);
    if (m_request.deadline <= now)
        return scheduleRefusal("deadline passed");
    if (service == m_snapshot->services.end() || !service->second->view ||
        service->second->view->partitions.shardCount() == 0)
        return scheduleRefusal("no partition map");

    m_service = service->second.get();
    m_routeHash = XXH3_64bits(m_request.routeKey.data(), m_request.routeKey.size());
    m_shard = static_cast<std::uint32_t>(m_routeHash % m_service->view->partitions.shardCount());
    // With an idempotency key the claim comes before the choice of a replica, so that a repeated
    // request gets its recorded outcome even if no replica is available.
    if (!usesClaim() && !chooseReplica())
        return scheduleRefusal(NoReplica);

    const Duration remaining = m_request.deadline - now;
    m_margin = std::min<Duration>(BookingAnswerMargin, remaining / 8);
    m_deadlineTimer = m_context.timers.schedule(remaining - m_margin,
                                                [self = self()] { self->onDeadline(); });
    if (!usesClaim())
        return dispatch();
    m_context.claims.claim(
            m_request, [self = self()](ClaimResult result) { self->onClaim(std::move(result)); });
}

void Run::scheduleRefusal(const char *reason)
{
    m_context.timers.schedule(Duration::zero(), [self = self(), reason] {
        self->answer({BookingOutcome::NotRun, {}, reason, false});
    });
}

void Run::onClaim(ClaimResult result)
{
    switch (result.state) {
    case ClaimState::Claimed:
        m_claim = std::move(result);
        // The caller was answered with notRun before the claim was confirmed. Recording that
        // outcome releases the key.
        if (m_answered)
            return end({BookingOutcome::NotRun, {}, {}, false});
        return dispatch();
    case ClaimState::AlreadyClaimed:
        return answer(std::move(result.recorded));
    case ClaimState::Mismatch:
        return answer(
                {BookingOutcome::NotRun, {}, "idempotency key was used for another body", false});
    case ClaimState::Unconfirmed:
        return answer({BookingOutcome::NotRun,
                       {},
                       result.recorded.reason.empty() ? "claim not confirmed"
                                                      : std::move(result.recorded.reason),
                       false});
    }
}

void Run::dispatch()
{
    const TimePoint sendBy = m_request.deadline - 2 * m_margin;
    const bool mayTry = m_attempts.size() < MaxBookingAttempts && m_context.timers.now() < sendBy;
    const std::optional<std::uint32_t> replica = mayTry ? chooseReplica() : std::nullopt;
    if (!replica) {
        return end({BookingOutcome::NotRun,
                    {},
                    m_attempts.empty() ? NoReplica : "no replica took the request",
                    false});
    }
    if (!checkInvariant(Invariant::AtMostOnce,
                        isProvenNotRunSoFar() && (!usesClaim() || m_claim) && !m_answered,
                        "a booking was about to be dispatched twice or without its claim"))
        return end({BookingOutcome::Unknown, {}, "internal error", false});

    const Searcher &searcher = m_service->searchers[*replica];
    SubRequest request;
    request.id = nextSubRequestId();
    request.kind = RequestKind::Book;
    request.service = m_service->name;
    request.upstream = searcher.state;
    request.owner = searcher.owner;
    request.shard = m_shard;
    request.indexVersion = m_service->view->partitions.indexVersion;
    request.deadline = sendBy;
    request.body = m_request.body;
    request.versionCounters = searcher.versionCounters;
    m_attempts.push_back({request.id, *replica, AttemptState::Open});
    m_context.sender.send(std::span(&request, 1), shared_from_this());
}

std::optional<std::uint32_t> Run::chooseReplica() const
{
    const IndexView &view = *m_service->view;
    if (m_shard >= view.replicas.size())
        return std::nullopt;
    const std::vector<std::uint32_t> &replicas = view.replicas[m_shard];
    const auto isUsable = [this](std::uint32_t replica) {
        return !m_service->searchers[replica].state->isDraining();
    };
    // Weighted rendezvous hashing: the probability of a back-end version is its share, divided
    // evenly among its replicas.
    const auto weightOf = [&](std::uint32_t replica) {
        if (m_service->versionShares.empty())
            return 1.0;
        const std::string &version = m_service->searchers[replica].entry.backEndVersion;
        const auto share =
                std::ranges::find(m_service->versionShares, version, &VersionShare::version);
        if (share == m_service->versionShares.end())
            return 0.0;
        const auto siblings = std::ranges::count_if(replicas, [&](std::uint32_t other) {
            return isUsable(other) && m_service->searchers[other].entry.backEndVersion == version;
        });
        return share->share / static_cast<double>(siblings);
    };

    std::optional<std::uint32_t> best;
    double bestScore = 0;
    for (const std::uint32_t replica : replicas) {
        const bool isTried =
                std::ranges::find(m_attempts, replica, &Attempt::replica) != m_attempts.end();
        const double weight = isTried || !isUsable(replica) ? 0 : weightOf(replica);
        if (weight <= 0)
            continue;
        const std::string &address = m_service->searchers[replica].entry.address;
        const std::uint64_t hash =
                XXH3_64bits_withSeed(address.data(), address.size(), m_routeHash);
        // Strictly between 0 and 1, so that the logarithm is finite and negative.
        const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
        const double score = weight / -std::log(unit);
        if (score > bestScore) {
            best = replica;
            bestScore = score;
        }
    }
    return best;
}

Run::Attempt *Run::find(SubRequestId id)
{
    const auto found = std::ranges::find(m_attempts, id, &Attempt::id);
    return found == m_attempts.end() ? nullptr : &*found;
}

bool Run::isProvenNotRunSoFar() const
{
    return std::ranges::all_of(m_attempts, [](const Attempt &attempt) {
        return attempt.state == AttemptState::NotRun;
    });
}

void Run::onAnswer(SubRequestAnswer subAnswer)
{
    Attempt *attempt = find(subAnswer.id);
    if (!attempt || attempt->state == AttemptState::Answered)
        return;
    const bool wasReportedNotRun = attempt->state == AttemptState::NotRun;
    const bool isOnlyAnswer = std::ranges::none_of(m_attempts, [attempt](const Attempt &other) {
        return &other != attempt && other.state == AttemptState::Answered;
    });
    attempt->state = AttemptState::Answered;
    checkInvariant(Invariant::TrueNotRun, !wasReportedNotRun,
                   "a booking was answered after it had been reported as not run");
    checkInvariant(Invariant::AtMostOnce, isOnlyAnswer, "two searchers answered one booking");
    if (wasReportedNotRun || !isOnlyAnswer)
        return;
    end({BookingOutcome::Done, std::move(subAnswer.body), {}, false});
}

void Run::onFailure(SubRequestId id, SubRequestFailure failure)
{
    Attempt *attempt = find(id);
    if (!attempt || attempt->state != AttemptState::Open)
        return;
    if (!isProvenNotRun(failure)) {
        attempt->state = AttemptState::MayHaveRun;
        return end({BookingOutcome::Unknown, {}, toString(failure), false});
    }
    attempt->state = AttemptState::NotRun;
    if (m_answered)
        return end({BookingOutcome::NotRun, {}, toString(failure), false});
    dispatch();
}

void Run::onDeadline()
{
    m_deadlineTimer = 0;
    if (m_answered)
        return;
    if (m_result)
        return answer(*m_result);
    if (isProvenNotRunSoFar())
        return answer({BookingOutcome::NotRun, {}, "deadline passed", false});
    // The attempt is not cancelled: it ends at its own deadline, and an answer that arrives until
    // then is recorded.
    answer({BookingOutcome::Unknown, {}, "no answer before the deadline", false});
}

void Run::end(BookingResult result)
{
    if (!m_claim || result.outcome == BookingOutcome::Unknown || m_result)
        return answer(std::move(result));

    m_result = result;
    checkInvariant(Invariant::TrueNotRun,
                   result.outcome != BookingOutcome::NotRun || isProvenNotRunSoFar(),
                   "a booking that may have run was about to be recorded as not run");
    // The timer and the confirmation both call answer(), which ignores the second call.
    const TimerId timer = m_context.timers.schedule(
            MaxRecordWait, [self = self()] { self->answer(*self->m_result); });
    m_context.claims.record(m_request, *m_claim, result, [self = self(), timer] {
        self->m_context.timers.cancel(timer);
        self->answer(*self->m_result);
    });
}

void Run::answer(BookingResult result)
{
    if (std::exchange(m_answered, true))
        return;
    if (m_deadlineTimer != 0)
        m_context.timers.cancel(m_deadlineTimer);
    checkInvariant(Invariant::TrueNotRun,
                   result.outcome != BookingOutcome::NotRun || isProvenNotRunSoFar(),
                   "a booking that may have run was about to be reported as not run");
    const Callback done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

} // namespace

std::shared_ptr<BookingRun> BookingRun::create(BookingContext context, SnapshotPin snapshot,
                                               BookingRequest request, Callback done)
{
    return std::make_shared<Run>(context, std::move(snapshot), std::move(request), std::move(done));
}

} // namespace geraniumcart
