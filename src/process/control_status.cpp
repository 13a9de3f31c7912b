#include "process/control_p.h"

#include "process/log_p.h"

#include <algorithm>
#include <ctime>

namespace geraniumcart {

namespace {

/// Interval at which the status is updated between changes of routing.
constexpr std::chrono::milliseconds StatusInterval{200};

/// Formats a time in UTC with a resolution of minutes, as the rules file does.
std::string formatMinute(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%MZ", &utc);
    return text;
}

RuleState stateOf(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::InProgress:
        return RuleState::InProgress;
    case RolloutPhase::Done:
        return RuleState::Done;
    case RolloutPhase::RolledBack:
        return RuleState::RolledBack;
    }
    return RuleState::InProgress;
}

} // namespace

ControlStatus Control::status() const
{
    const std::lock_guard lock(m_statusMutex);
    return *m_status;
}

bool Control::isInForceEverywhere() const
{
    for (const std::string &peer : presentPeers()) {
        const auto found = m_peerRules.find(peer);
        if (found == m_peerRules.end() || found->second < m_inputs.rulesVersion)
            return false;
    }
    return true;
}

bool Control::isZoneIdle(const std::string &zone) const
{
    const SnapshotPin snapshot = m_context.snapshots.pin();
    for (const auto &[name, service] : snapshot->services)
        for (const Searcher &searcher : service->searchers)
            if (searcher.entry.zone == zone && searcher.state->inFlight() > 0)
                return false;
    return true;
}

std::vector<std::string> Control::warnings() const
{
    std::vector<std::string> warnings;
    const SnapshotPin snapshot = m_context.snapshots.pin();
    for (const auto &[name, service] : snapshot->services) {
        if (!service->view) {
            warnings.push_back(name + ": no index version is known");
            continue;
        }
        const std::uint32_t shards = service->view->partitions.shardCount();
        const std::uint32_t missing = shards - service->view->coveredShards;
        if (missing > 0)
            warnings.push_back(name + ": " + std::to_string(missing) + " of " +
                               std::to_string(shards) + " shards have no replica");
    }
    if (m_watcher.isActive() && !m_watcher.isStoreReachable())
        warnings.push_back("the object store does not answer; the current rules stay in force");
    return warnings;
}

void Control::addRuleStatus(ControlStatus &status, const std::string &rule,
                            const RuleOrigin &origin, RuleState state, const std::string &reason)
{
    RuleProgress &progress = m_ruleProgress[rule];
    if (progress.since == WallTime{} || progress.state != state) {
        progress.since = m_context.timers.wallNow();
        progress.state = state;
        logEvent(LogLevel::Info, "ruleState",
                 {{"rule", rule}, {"state", toString(state)}, {"reason", reason}});
    }
    progress.reason = reason;
    status.rules.push_back({rule, origin.line, state, reason, progress.since});
}

void Control::startStatus()
{
    updateStatus();
    m_context.timers.scheduleEvery(StatusInterval, [this] { updateStatus(); });
}

void Control::updateStatus()
{
    auto status = std::make_shared<ControlStatus>();
    const bool isInForce = isInForceEverywhere();
    const RuleState propagationState = isInForce ? RuleState::Done : RuleState::InProgress;
    const std::string propagationReason =
            isInForce ? "in force on all members" : "not on all members yet";
    for (const ZoneRule &zone : m_inputs.rules.zones) {
        const bool isIdle = isZoneIdle(zone.zone);
        addRuleStatus(*status, "zone " + zone.zone + " out", zone.origin,
                      isIdle ? propagationState : RuleState::InProgress,
                      isIdle ? propagationReason : "requests in flight are finishing");
    }
    for (const RolloutStatus &rollout : m_rollout.statuses())
        addRuleStatus(*status,
                      "move " + rollout.rule.service + " to " + rollout.rule.version + " by " +
                              formatMinute(rollout.rule.by),
                      rollout.rule.origin, stateOf(rollout.state), rollout.reason);
    for (const LimitRule &limit : m_inputs.rules.limits)
        addRuleStatus(*status, "limit tenant " + limit.tenant, limit.origin, propagationState,
                      propagationReason);
    for (const ClassRule &rule : m_inputs.rules.classes)
        addRuleStatus(*status, "class " + rule.className + " weight " + std::to_string(rule.weight),
                      rule.origin, propagationState, propagationReason);
    std::erase_if(m_ruleProgress, [&](const auto &entry) {
        return std::none_of(status->rules.begin(), status->rules.end(),
                            [&](const RuleStatus &rule) { return rule.rule == entry.first; });
    });
    status->warnings = warnings();
    for (const Member &member : m_membership.members())
        status->members.push_back({member.name, member.zone, member.state});
    {
        const std::lock_guard lock(m_statusMutex);
        m_status = std::move(status);
    }
}

} // namespace geraniumcart
