#include <geraniumcart/front_end.h>
#include <geraniumcart/invariants.h>

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

Refusal makeRefusal(RefusalKind kind, std::string reason)
{
    return {kind, std::move(reason), true, std::nullopt};
}

std::optional<Refusal> refusalOf(AdmissionDecision decision, const std::string &tenant)
{
    switch (decision) {
    case AdmissionDecision::Admitted:
        return std::nullopt;
    case AdmissionDecision::RateLimited:
        return makeRefusal(RefusalKind::RateLimited,
                           "tenant " + tenant + " is over its rate limit");
    case AdmissionDecision::Overloaded:
        return makeRefusal(RefusalKind::Overloaded, "the service is overloaded");
    case AdmissionDecision::DeadlinePassed:
        return makeRefusal(RefusalKind::DeadlinePassed,
                           "the deadline passed in the admission queue");
    }
    return makeRefusal(RefusalKind::Overloaded, "the service is overloaded");
}

/// @return the refusal for a search that ended without an answer, or nothing if it was answered
std::optional<Refusal> refusalOf(const SearchOutcome &outcome)
{
    const bool isNotRun = outcome.subRequests == 0;
    switch (outcome.status) {
    case SearchStatus::Answered:
        return std::nullopt;
    case SearchStatus::BelowMinCoverage:
        return Refusal{RefusalKind::BelowMinCoverage, "coverage is below the requested minimum",
                       isNotRun, outcome.coverage};
    case SearchStatus::NoIndex:
        return Refusal{RefusalKind::NotReady, "no index version of the service is known", isNotRun,
                       std::nullopt};
    case SearchStatus::DeadlinePassed:
        return Refusal{RefusalKind::DeadlinePassed, "the deadline passed", isNotRun, std::nullopt};
    }
    return std::nullopt;
}

bool isReadyForWork(const RoutingSnapshot &snapshot)
{
    return snapshot.isComplete && snapshot.acceptsNewWork && !snapshot.isLeaving;
}

bool isCoverageAccurate(const SearchOutcome &outcome)
{
    const Coverage &coverage = outcome.coverage;
    return outcome.results.size() == coverage.shardsAnswered &&
           outcome.results.size() + outcome.missing.size() == coverage.shardsTotal &&
           coverage.documentsSearched <= coverage.documentsTotal;
}

bool lackedCapacity(const SearchOutcome &outcome)
{
    return std::ranges::any_of(outcome.missing, [](const MissingShard &shard) {
        return shard.reason == MissingReason::NoCapacity;
    });
}

} // namespace

const char *toString(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::BadRequest:
        return "badRequest";
    case RefusalKind::UnknownPath:
        return "unknownPath";
    case RefusalKind::UnknownService:
        return "unknownService";
    case RefusalKind::MethodNotAllowed:
        return "methodNotAllowed";
    case RefusalKind::RequestTimeout:
        return "requestTimeout";
    case RefusalKind::BodyTooLarge:
        return "bodyTooLarge";
    case RefusalKind::HeaderTooLarge:
        return "headerTooLarge";
    case RefusalKind::RateLimited:
        return "rateLimited";
    case RefusalKind::Overloaded:
        return "overloaded";
    case RefusalKind::NotAccepting:
        return "notAccepting";
    case RefusalKind::NotReady:
        return "notReady";
    case RefusalKind::DeadlinePassed:
        return "deadlinePassed";
    case RefusalKind::BelowMinCoverage:
        return "belowMinCoverage";
    }
    return "unknown";
}

const char *toString(RuleState state)
{
    switch (state) {
    case RuleState::InProgress:
        return "in progress";
    case RuleState::Done:
        return "done";
    case RuleState::RolledBack:
        return "taken back";
    }
    return "unknown";
}

CallId FrontEnd::handle(CallerRequest request, Callback done)
{
    const CallId id = ++m_lastId;
    m_running.fetch_add(1, std::memory_order_relaxed);
    Call &call = m_calls[id];
    call.request = std::move(request);
    call.done = std::move(done);

    const SnapshotPin pin = m_context.snapshots.pin();
    switch (call.request.call) {
    case CallKind::Search:
        m_context.stats.add(Counter::Searches);
        break;
    case CallKind::Book:
        m_context.stats.add(Counter::Bookings);
        break;
    case CallKind::Entries:
        answer(id, EntriesAnswer{pin->entries, EntriesValidFor});
        return id;
    case CallKind::Status:
        answer(id, status());
        return id;
    case CallKind::Limits:
        m_context.admission.report([this, id](std::vector<ServiceLimits> services) {
            answer(id, LimitsAnswer{std::move(services)});
        });
        return id;
    case CallKind::Health:
        answer(id, TextAnswer{"ok\n"});
        return id;
    case CallKind::Ready: {
        const bool isReady = isReadyForWork(*pin);
        const char *text =
                isReady ? "ready\n"
                : pin->isComplete
                        ? "not ready: the daemon is leaving or its zone is out of service\n"
                        : "not ready: rules, catalog or hosts are not known yet\n";
        answer(id, TextAnswer{text, TextKind::Plain, isReady});
        return id;
    }
    case CallKind::Metrics:
        answer(id, TextAnswer{m_context.stats.prometheusText(), TextKind::Prometheus});
        return id;
    }

    if (std::optional<Refusal> refusal = refusalOf(call, *pin)) {
        refuse(id, std::move(*refusal));
        return id;
    }
    // The callback may run before admit() returns and erase the call, so the arguments are copies.
    const std::string service = call.request.service;
    m_context.admission.admit(service,
                              {call.request.tenant, call.request.className, call.request.deadline},
                              [this, id](AdmissionDecision decision) { onDecision(id, decision); });
    return id;
}

void FrontEnd::abandon(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Call &call = found->second;
    call.done = nullptr;
    if (!call.search)
        return;
    call.search->abandon();
    releaseAdmission(call);
    answer(id, Refusal{});
}

std::optional<Refusal> FrontEnd::refusalOf(const Call &call, const RoutingSnapshot &snapshot) const
{
    if (m_context.timers.now() >= call.request.deadline)
        return makeRefusal(RefusalKind::DeadlinePassed, "the deadline passed before the start");
    if (!snapshot.acceptsNewWork)
        return makeRefusal(RefusalKind::NotAccepting,
                           "the daemon is leaving or its zone is out of service");
    if (!snapshot.services.contains(call.request.service)) {
        if (!snapshot.isComplete)
            return makeRefusal(RefusalKind::NotReady, "rules, catalog or hosts are not known yet");
        return makeRefusal(RefusalKind::UnknownService,
                           "no service is named " + call.request.service);
    }
    return std::nullopt;
}

void FrontEnd::onDecision(CallId id, AdmissionDecision decision)
{
    Call &call = m_calls.at(id);
    if (std::optional<Refusal> refusal = geraniumcart::refusalOf(decision, call.request.tenant)) {
        refuse(id, std::move(*refusal));
        return;
    }
    call.admittedAt = m_context.timers.now();
    if (!call.done) {
        releaseAdmission(call);
        answer(id, Refusal{});
        return;
    }
    // Pinned after the wait for admission, so that a zone that was taken out of service in
    // the meantime gets no work.
    SnapshotPin pin = m_context.snapshots.pin();
    if (std::optional<Refusal> refusal = refusalOf(call, *pin)) {
        releaseAdmission(call);
        refuse(id, std::move(*refusal));
        return;
    }
    if (call.request.call == CallKind::Search)
        startSearch(id, call, std::move(pin));
    else
        startBooking(id, call, std::move(pin));
}

void FrontEnd::startSearch(CallId id, Call &call, SnapshotPin snapshot)
{
    SearchQuery query{call.request.service, call.request.deadline, call.request.body,
                      call.request.minCoverage};
    call.search = m_context.runs.createSearch(
            std::move(snapshot), std::move(query),
            [this, id](SearchOutcome outcome) { onSearchDone(id, std::move(outcome)); });
    call.search->start();
}

void FrontEnd::startBooking(CallId id, Call &call, SnapshotPin snapshot)
{
    BookingRequest request;
    request.service = call.request.service;
    request.tenant = call.request.tenant;
    request.routeKey = call.request.routeKey;
    // Without a route key, a repeat with the same key or body still goes to the same shard.
    if (request.routeKey.empty())
        request.routeKey = call.request.idempotencyKey;
    if (request.routeKey.empty() && call.request.body)
        request.routeKey = *call.request.body;
    request.idempotencyKey = call.request.idempotencyKey;
    request.deadline = call.request.deadline;
    request.body = call.request.body;
    call.booking = m_context.runs.createBooking(
            std::move(snapshot), std::move(request),
            [this, id](BookingResult result) { onBookingDone(id, std::move(result)); });
    // Keeps the run alive, since start() may erase the call.
    const std::shared_ptr<BookingRun> run = call.booking;
    run->start();
}

void FrontEnd::onSearchDone(CallId id, SearchOutcome outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call &call = found->second;
    finishAdmission(call, lackedCapacity(outcome));
    if (std::optional<Refusal> refusal = geraniumcart::refusalOf(outcome)) {
        refuse(id, std::move(*refusal));
        return;
    }
    checkInvariant(Invariant::TrueCoverage, isCoverageAccurate(outcome),
                   "the coverage of a search answer does not match its results and missing shards");
    m_context.stats.add(outcome.coverage.isComplete() ? Counter::SearchesComplete
                                                      : Counter::SearchesPartial);
    m_context.stats.recordRequest(call.request.tenant, call.request.className,
                                  m_context.timers.now() - call.request.arrival,
                                  outcome.coverage.documentShare());
    answer(id, std::move(outcome));
}

void FrontEnd::onBookingDone(CallId id, BookingResult result)
{
    const Call &call = m_calls.at(id);
    finishAdmission(call, false);
    switch (result.outcome) {
    case BookingOutcome::Done:
        m_context.stats.add(Counter::BookingsDone);
        m_context.stats.recordRequest(call.request.tenant, call.request.className,
                                      m_context.timers.now() - call.request.arrival, 1);
        break;
    case BookingOutcome::NotRun:
        m_context.stats.add(Counter::BookingsNotRun);
        break;
    case BookingOutcome::Unknown:
        m_context.stats.add(Counter::BookingsUnknown);
        break;
    }
    answer(id, std::move(result));
}

void FrontEnd::finishAdmission(const Call &call, bool wasOverloaded)
{
    m_context.admission.finish(call.request.service,
                               m_context.timers.now() - call.admittedAt.value(), wasOverloaded);
}

void FrontEnd::releaseAdmission(const Call &call)
{
    m_context.admission.finish(call.request.service, Duration::zero(), false);
}

void FrontEnd::refuse(CallId id, Refusal refusal)
{
    const Call &call = m_calls.at(id);
    m_context.stats.add(call.request.call == CallKind::Search ? Counter::SearchesRefused
                                                              : Counter::BookingsNotRun);
    if (refusal.kind == RefusalKind::RateLimited)
        m_context.stats.add(Counter::RateLimited);
    if (refusal.kind == RefusalKind::Overloaded)
        m_context.stats.add(Counter::Overloaded);
    checkInvariant(Invariant::TrueNotRun, !refusal.isNotRun || !call.booking,
                   "a booking that was started is reported as not run");
    answer(id, std::move(refusal));
}

void FrontEnd::answer(CallId id, CallerAnswer answer)
{
    auto call = m_calls.extract(id);
    if (call.empty()) {
        checkInvariant(Invariant::OwnAnswer, false, "a call was answered twice");
        return;
    }
    if (call.mapped().done)
        call.mapped().done({std::move(answer), m_context.snapshots.pin()->isLeaving});
    m_running.fetch_sub(1, std::memory_order_release);
}

StatusAnswer FrontEnd::status() const
{
    const SnapshotPin pin = m_context.snapshots.pin();
    return {pin->rulesVersion, isReadyForWork(*pin), m_context.status.status()};
}

} // namespace geraniumcart
