#include <geraniumcart/request_trace.h>

#include <algorithm>

namespace geraniumcart {

namespace {

/// Maximum number of requests logged in full, per second on average and in one burst. A request
/// takes about ten lines, so this limits a daemon's log to a few hundred kilobytes per second.
constexpr double RequestsPerSecond = 20;
constexpr double RequestBurst = 60;
/// One good request in this many is logged.
constexpr std::uint32_t GoodRequestInterval = 50;

} // namespace

const char *toString(TraceStep step)
{
    switch (step) {
    case TraceStep::Sent:
        return "sent";
    case TraceStep::Hedged:
        return "hedged";
    case TraceStep::Retried:
        return "retried";
    case TraceStep::BudgetExhausted:
        return "budgetExhausted";
    case TraceStep::NoRoom:
        return "noRoom";
    case TraceStep::NoUpstream:
        return "noUpstream";
    case TraceStep::Refused:
        return "refused";
    case TraceStep::OtherInstance:
        return "otherInstance";
    case TraceStep::FailureReply:
        return "failureReply";
    case TraceStep::NotSent:
        return "notSent";
    case TraceStep::Lost:
        return "lost";
    case TraceStep::Malformed:
        return "malformed";
    case TraceStep::TimedOut:
        return "timedOut";
    case TraceStep::ObjectivePassed:
        return "objectivePassed";
    }
    return "unknown";
}

void RequestTrace::record(TimePoint now, TraceStep step, const std::string &service,
                          const Upstream *upstream)
{
    if (m_entries.size() >= MaxEntries) {
        ++m_omitted;
        return;
    }
    TraceEntry entry{now - m_arrival, step, service, {}, 0, {}, {}};
    if (upstream) {
        entry.instanceId = upstream->instanceId();
        entry.inFlight = upstream->inFlight();
        entry.latency = upstream->latency();
        entry.silence = upstream->silence(now);
    }
    m_entries.push_back(std::move(entry));
}

bool TraceLogPolicy::shouldLog(TimePoint now, bool isGood)
{
    if (isGood && ++m_good % GoodRequestInterval != 0)
        return false;
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(RequestBurst, m_tokens + seconds * RequestsPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1) {
        ++m_suppressed;
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace geraniumcart
