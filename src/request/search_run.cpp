#include <geraniumcart/invariants.h>
#include <geraniumcart/search.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <utility>

namespace geraniumcart {

namespace {

/// Hedges that become due within this time of each other are sent in one batch.
constexpr Duration HedgeSlack = std::chrono::microseconds(500);

MissingReason reasonOf(SubRequestFailure failure)
{
    switch (failure) {
    case SubRequestFailure::Refused:
    case SubRequestFailure::NoCapacity:
        return MissingReason::NoCapacity;
    case SubRequestFailure::NotSent:
    case SubRequestFailure::ConnectFailed:
    case SubRequestFailure::ConnectionLost:
        return MissingReason::ConnectionLost;
    case SubRequestFailure::TimedOut:
        return MissingReason::TimedOut;
    case SubRequestFailure::Cancelled:
    case SubRequestFailure::Malformed:
    case SubRequestFailure::Failed:
        return MissingReason::Failed;
    }
    return MissingReason::Failed;
}

class Run final : public SearchRun
{
public:
    Run(SearchContext context, SnapshotPin snapshot, SearchQuery query, Callback done)
        : m_context(context)
        , m_snapshot(std::move(snapshot))
        , m_query(std::move(query))
        , m_done(std::move(done))
    {
    }

    void start() override;
    void abandon() override;
    void onAnswer(SubRequestAnswer answer) override;
    void onFailure(SubRequestId id, SubRequestFailure failure) override;

private:
    struct Attempt
    {
        std::uint32_t shard = 0;
        std::uint32_t replica = 0;
        TimePoint sentAt{};
        bool isOpen = true;
    };

    enum class ShardState : std::uint8_t { Pending, Answered, Missing };

    struct Shard
    {
        ShardState state = ShardState::Pending;
        MissingReason reason = MissingReason::NoReplica;
        std::uint8_t hedges = 0;
        /// Attempts that have not ended.
        std::uint8_t open = 0;
        std::uint8_t attempts = 0;
        std::array<std::uint32_t, MaxAttemptsPerShard> tried{};
        /// Start of the hedge delay: a hedge is due once the policy's delay has passed since then.
        TimePoint hedgeDelayStart{};
        std::uint64_t answeredVersion = 0;
        std::string body;
    };

    const std::vector<std::uint32_t> &replicasOf(std::uint32_t shard) const;
    /// Chooses a replica and appends the sub-request to @p batch.
    /// @return false if the shard has no further usable replica or has had all its attempts
    bool prepareAttempt(std::uint32_t shard, std::vector<SubRequest> &batch);
    SubRequest requestFor(std::uint32_t attempt) const;
    /// Marks the attempt with this id as ended.
    /// @return the attempt; null if it has ended before or belongs to another run
    Attempt *endAttempt(SubRequestId id);
    /// Called after an attempt has failed. Does nothing while another attempt at the shard is open.
    void retryOrGiveUp(std::uint32_t shardIndex, MissingReason reason);
    void cancelOpenAttempts(std::uint32_t shardIndex);
    void cancelAttempt(std::uint32_t index);
    bool mayHedge(std::uint32_t shardIndex) const;
    void hedgeDueShards(Duration delay);
    void armTimer();
    void onTimer();
    /// Finishes on a later turn of the event loop, since start() must not call the callback.
    void scheduleFinish(SearchStatus status);
    void finish(SearchStatus status);
    void checkOutcome(const SearchOutcome &outcome) const;
    void count(Counter counter, std::uint64_t amount = 1)
    {
        if (m_context.stats && amount > 0)
            m_context.stats->add(counter, amount);
    }

    SearchContext m_context;
    SnapshotPin m_snapshot;
    SearchQuery m_query;
    Callback m_done;
    const ServiceRouting *m_service = nullptr;
    const IndexView *m_view = nullptr;
    /// Time at which the run ends even if shards have not answered.
    TimePoint m_finishBy{};
    /// Id of the first attempt; later attempts have consecutive ids, in the order of m_attempts.
    SubRequestId m_baseId = 0;
    std::vector<Attempt> m_attempts;
    std::vector<Shard> m_shards;
    std::uint32_t m_pending = 0;
    std::uint32_t m_answered = 0;
    std::uint64_t m_documentsSearched = 0;
    std::uint32_t m_hedges = 0;
    std::uint32_t m_retries = 0;
    /// Runs at the next hedge or at m_finishBy.
    TimerId m_timer = 0;
    /// True if the hedging policy had a delay when the timer was set.
    bool m_hasHedgeDelay = false;
    bool m_finished = false;
};

void Run::start()
{
    const TimePoint now = m_context.timers.now();
    if (m_query.deadline <= now)
        return scheduleFinish(SearchStatus::DeadlinePassed);
    const auto service = m_snapshot->services.find(m_query.service);
    if (service == m_snapshot->services.end() || !service->second->view ||
        service->second->view->partitions.shardCount() == 0)
        return scheduleFinish(SearchStatus::NoIndex);

    m_service = service->second.get();
    m_view = &*m_service->view;
    const Duration remaining = m_query.deadline - now;
    m_finishBy = m_query.deadline - std::min<Duration>(SearchAnswerMargin, remaining / 4);

    const std::uint32_t shardCount = m_view->partitions.shardCount();
    m_baseId = reserveSubRequestIds(shardCount * MaxAttemptsPerShard);
    m_shards.resize(shardCount);
    m_attempts.reserve(shardCount + shardCount / 8);
    std::vector<SubRequest> batch;
    batch.reserve(shardCount);
    for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
        if (prepareAttempt(shard, batch))
            ++m_pending;
        else
            m_shards[shard].state = ShardState::Missing;
    }
    if (m_pending == 0)
        return scheduleFinish(SearchStatus::Answered);

    m_context.hedgeBudget.addFirstAttempts(m_pending);
    m_context.retryBudget.addFirstAttempts(m_pending);
    armTimer();
    m_context.sender.send(batch, shared_from_this());
}

void Run::abandon()
{
    if (std::exchange(m_finished, true))
        return;
    m_context.timers.cancel(m_timer);
    for (std::uint32_t i = 0; i < m_attempts.size(); ++i)
        cancelAttempt(i);
    m_done = nullptr;
}

const std::vector<std::uint32_t> &Run::replicasOf(std::uint32_t shard) const
{
    static const std::vector<std::uint32_t> None;
    return shard < m_view->replicas.size() ? m_view->replicas[shard] : None;
}

bool Run::prepareAttempt(std::uint32_t shardIndex, std::vector<SubRequest> &batch)
{
    Shard &shard = m_shards[shardIndex];
    if (shard.attempts == MaxAttemptsPerShard)
        return false;
    const auto replica = m_context.choice.choose(*m_service, replicasOf(shardIndex),
                                                 std::span(shard.tried).first(shard.attempts));
    if (!replica)
        return false;
    const TimePoint now = m_context.timers.now();
    shard.tried[shard.attempts++] = *replica;
    ++shard.open;
    shard.hedgeDelayStart = now;
    m_attempts.push_back({shardIndex, *replica, now});
    batch.push_back(requestFor(static_cast<std::uint32_t>(m_attempts.size() - 1)));
    return true;
}

SubRequest Run::requestFor(std::uint32_t index) const
{
    const Attempt &attempt = m_attempts[index];
    const Searcher &searcher = m_service->searchers[attempt.replica];
    checkInvariant(Invariant::ZoneOut, !m_snapshot->rules.isZoneOut(searcher.entry.zone),
                   searcher.entry.address);
    checkInvariant(Invariant::LeavingUpstream, searcher.entry.state == HostState::Live,
                   searcher.entry.address);
    SubRequest request;
    request.id = m_baseId + index;
    request.service = m_service->name;
    request.upstream = searcher.state;
    request.owner = searcher.owner;
    request.shard = attempt.shard;
    request.indexVersion = m_view->partitions.indexVersion;
    request.deadline = m_finishBy;
    request.body = m_query.body;
    request.versionCounters = searcher.versionCounters;
    return request;
}

Run::Attempt *Run::endAttempt(SubRequestId id)
{
    const SubRequestId index = id - m_baseId;
    if (index >= m_attempts.size() || !m_attempts[index].isOpen)
        return nullptr;
    Attempt &attempt = m_attempts[index];
    attempt.isOpen = false;
    --m_shards[attempt.shard].open;
    return &attempt;
}

void Run::onAnswer(SubRequestAnswer answer)
{
    const Attempt *attempt = m_finished ? nullptr : endAttempt(answer.id);
    if (!attempt || m_shards[attempt->shard].state != ShardState::Pending)
        return count(Counter::LateAnswers);

    const std::uint32_t shardIndex = attempt->shard;
    m_context.hedging.observe(m_context.timers.now() - attempt->sentAt);
    if (answer.indexVersion != m_view->partitions.indexVersion) {
        count(Counter::WrongVersion);
        return retryOrGiveUp(shardIndex, MissingReason::WrongVersion);
    }
    if (answer.shard != shardIndex)
        return retryOrGiveUp(shardIndex, MissingReason::Failed);

    Shard &shard = m_shards[shardIndex];
    shard.state = ShardState::Answered;
    shard.answeredVersion = answer.indexVersion;
    shard.body = std::move(answer.body);
    ++m_answered;
    m_documentsSearched += m_view->partitions.documents[shardIndex];
    if (shard.open > 0)
        cancelOpenAttempts(shardIndex);
    if (--m_pending == 0)
        return finish(SearchStatus::Answered);
    if (!m_hasHedgeDelay && m_context.hedging.delay())
        armTimer();
}

void Run::onFailure(SubRequestId id, SubRequestFailure failure)
{
    const Attempt *attempt = m_finished ? nullptr : endAttempt(id);
    if (attempt && m_shards[attempt->shard].state == ShardState::Pending)
        retryOrGiveUp(attempt->shard, reasonOf(failure));
}

void Run::retryOrGiveUp(std::uint32_t shardIndex, MissingReason reason)
{
    Shard &shard = m_shards[shardIndex];
    shard.reason = reason;
    if (shard.open > 0)
        return;

    std::vector<SubRequest> batch;
    const bool mayRetry = shard.attempts < MaxAttemptsPerShard &&
                          shard.attempts < replicasOf(shardIndex).size() &&
                          m_context.timers.now() < m_finishBy && m_context.retryBudget.tryTake();
    if (mayRetry && prepareAttempt(shardIndex, batch)) {
        ++m_retries;
        m_context.sender.send(batch, shared_from_this());
        return;
    }
    shard.state = ShardState::Missing;
    if (--m_pending == 0)
        finish(SearchStatus::Answered);
}

void Run::cancelOpenAttempts(std::uint32_t shardIndex)
{
    // Iterates backwards, because hedges and retries are at the end and a shard has only a few
    // attempts.
    std::uint32_t open = m_shards[shardIndex].open;
    for (auto i = static_cast<std::uint32_t>(m_attempts.size()); open > 0 && i-- > 0;) {
        if (m_attempts[i].shard != shardIndex || !m_attempts[i].isOpen)
            continue;
        cancelAttempt(i);
        --open;
    }
}

void Run::cancelAttempt(std::uint32_t index)
{
    const Attempt &attempt = m_attempts[index];
    if (!attempt.isOpen)
        return;
    // The age of the attempt is a lower bound of its latency. Without it, slow attempts that a
    // hedge overtook would be missing from the histogram and the quantile would sink with every
    // hedge. A replica that is always slow would also keep the latency of its few fast answers.
    const Duration age = m_context.timers.now() - attempt.sentAt;
    m_context.hedging.observe(age);
    UpstreamState &upstream = *m_service->searchers[attempt.replica].state;
    if (age > upstream.latency())
        upstream.recordLatency(age);
    count(Counter::Cancels);
    m_context.sender.cancel(requestFor(index));
}

bool Run::mayHedge(std::uint32_t shardIndex) const
{
    const Shard &shard = m_shards[shardIndex];
    return shard.state == ShardState::Pending && shard.hedges < MaxHedgesPerShard &&
           shard.attempts < MaxAttemptsPerShard && shard.attempts < replicasOf(shardIndex).size();
}

void Run::hedgeDueShards(Duration delay)
{
    const TimePoint now = m_context.timers.now();
    std::vector<SubRequest> batch;
    for (std::uint32_t i = 0; i < m_shards.size(); ++i) {
        if (!mayHedge(i) || m_shards[i].hedgeDelayStart + delay > now + HedgeSlack)
            continue;
        // If the budget is exhausted, the shard waits for another delay. If no replica is left, the
        // shard is not hedged again, since that would only use up tokens.
        m_shards[i].hedgeDelayStart = now;
        if (!m_context.hedgeBudget.tryTake())
            continue;
        const bool isSent = prepareAttempt(i, batch);
        m_shards[i].hedges = isSent ? m_shards[i].hedges + 1 : MaxHedgesPerShard;
    }
    if (batch.empty())
        return;
    m_hedges += static_cast<std::uint32_t>(batch.size());
    m_context.sender.send(batch, shared_from_this());
}

void Run::armTimer()
{
    TimePoint due = m_finishBy;
    const std::optional<Duration> delay = m_context.hedging.delay();
    m_hasHedgeDelay = delay.has_value();
    if (delay)
        for (std::uint32_t i = 0; i < m_shards.size(); ++i)
            if (mayHedge(i))
                due = std::min(due, m_shards[i].hedgeDelayStart + *delay);
    if (m_timer != 0)
        m_context.timers.cancel(m_timer);
    m_timer = m_context.timers.schedule(
            due - m_context.timers.now(),
            [self = std::static_pointer_cast<Run>(shared_from_this())] { self->onTimer(); });
}

void Run::onTimer()
{
    m_timer = 0;
    if (m_finished)
        return;
    if (m_context.timers.now() >= m_finishBy)
        return finish(SearchStatus::Answered);
    if (const auto delay = m_context.hedging.delay())
        hedgeDueShards(*delay);
    armTimer();
}

void Run::scheduleFinish(SearchStatus status)
{
    m_context.timers.schedule(Duration::zero(),
                              [self = std::static_pointer_cast<Run>(shared_from_this()), status] {
                                  self->finish(status);
                              });
}

void Run::finish(SearchStatus status)
{
    if (std::exchange(m_finished, true))
        return;
    if (m_timer != 0)
        m_context.timers.cancel(m_timer);

    SearchOutcome outcome;
    outcome.status = status;
    if (m_view) {
        outcome.indexVersion = m_view->partitions.indexVersion;
        outcome.coverage.shardsAnswered = m_answered;
        outcome.coverage.shardsTotal = m_view->partitions.shardCount();
        outcome.coverage.documentsSearched = m_documentsSearched;
        outcome.coverage.documentsTotal = m_view->partitions.documentsTotal();
        outcome.subRequests = static_cast<std::uint32_t>(m_attempts.size());
        outcome.hedges = m_hedges;
        outcome.retries = m_retries;
        outcome.results.reserve(m_answered);
        for (std::uint32_t i = 0; i < m_shards.size(); ++i) {
            Shard &shard = m_shards[i];
            if (shard.state == ShardState::Answered)
                outcome.results.push_back(std::move(shard.body));
            else
                outcome.missing.push_back({i, shard.state == ShardState::Pending
                                                      ? MissingReason::TimedOut
                                                      : shard.reason});
        }
        checkOutcome(outcome);
        for (std::uint32_t i = 0; m_pending > 0 && i < m_attempts.size(); ++i)
            if (m_shards[m_attempts[i].shard].state == ShardState::Pending)
                cancelAttempt(i);
        count(Counter::SubRequests, outcome.subRequests);
        count(Counter::Hedges, m_hedges);
        count(Counter::Retries, m_retries);
        if (!outcome.coverage.isComplete() &&
            outcome.coverage.documentShare() < m_query.minCoverage)
            outcome.status = SearchStatus::BelowMinCoverage;
    }
    // The callback may release the last reference to the owner of this run.
    const Callback done = std::exchange(m_done, nullptr);
    done(std::move(outcome));
}

void Run::checkOutcome(const SearchOutcome &outcome) const
{
    std::uint32_t answered = 0;
    std::uint64_t documents = 0;
    bool isSingleSnapshot = true;
    for (std::uint32_t i = 0; i < m_shards.size(); ++i) {
        if (m_shards[i].state != ShardState::Answered)
            continue;
        ++answered;
        documents += m_view->partitions.documents[i];
        isSingleSnapshot &= m_shards[i].answeredVersion == outcome.indexVersion;
    }
    checkInvariant(Invariant::SingleSnapshot, isSingleSnapshot,
                   "a search merged answers of different index versions");
    checkInvariant(Invariant::TrueCoverage,
                   outcome.coverage.shardsAnswered == answered &&
                           outcome.results.size() == answered &&
                           outcome.missing.size() + answered == outcome.coverage.shardsTotal &&
                           outcome.coverage.documentsSearched == documents &&
                           documents <= outcome.coverage.documentsTotal,
                   "a search's coverage differs from the answers that it merged");
}

} // namespace

SubRequestId reserveSubRequestIds(std::uint32_t count)
{
    static const SubRequestId Upper = static_cast<SubRequestId>(std::random_device{}()) << 32;
    static std::atomic<std::uint32_t> next{0};
    return Upper + next.fetch_add(count, std::memory_order_relaxed);
}

std::shared_ptr<SearchRun> SearchRun::create(SearchContext context, SnapshotPin snapshot,
                                             SearchQuery query, Callback done)
{
    return std::make_shared<Run>(context, std::move(snapshot), std::move(query), std::move(done));
}

} // namespace geraniumcart
