// The part of Control that runs rollouts: answer counts, traffic shares and their steps over time.

#include "process/control_p.h"

#include <algorithm>

namespace geraniumcart {

namespace {

/// Interval at which answer counts are compared and traffic shares are updated.
constexpr std::chrono::milliseconds RolloutInterval{200};

} // namespace

bool Control::isServedEverywhere(const std::string &service, const std::string &version) const
{
    const SnapshotPin snapshot = m_context.snapshots.pin();
    const auto found = snapshot->services.find(service);
    if (found == snapshot->services.end() || !found->second->view)
        return false;
    const ServiceRouting &routing = *found->second;
    for (const std::vector<std::uint32_t> &replicas : routing.view->replicas) {
        const bool isServed = std::any_of(replicas.begin(), replicas.end(), [&](std::uint32_t i) {
            return routing.searchers[i].entry.backEndVersion == version;
        });
        if (!isServed)
            return false;
    }
    return true;
}

std::vector<VersionShare> Control::sharesOf(const std::string &service) const
{
    std::vector<VersionShare> shares = m_rollout.shares(service);
    if (shares.empty())
        return {};
    // The old versions share the rest of the traffic in proportion to their numbers of searchers.
    const VersionShare newVersion = shares.front();
    const double rest = shares.back().share;
    std::map<std::string, double> searchers;
    double total = 0;
    for (const SearcherEntry &entry : m_inputs.hosts.searchers) {
        if (entry.service != service || entry.backEndVersion == newVersion.version)
            continue;
        searchers[entry.backEndVersion] += 1;
        total += 1;
    }
    shares = {newVersion};
    for (const auto &[version, count] : searchers)
        shares.push_back({version, rest * count / total});
    return shares;
}

void Control::updateServiceCounters()
{
    std::erase_if(m_inputs.serviceCounters, [&](const auto &entry) {
        return m_inputs.rules.rolloutFor(entry.first) == nullptr;
    });
    for (const SearcherEntry &entry : m_inputs.hosts.searchers) {
        if (!m_inputs.rules.rolloutFor(entry.service))
            continue;
        std::shared_ptr<VersionCounters> &counters =
                m_inputs.serviceCounters[entry.service][entry.backEndVersion];
        if (!counters) {
            counters = std::make_shared<VersionCounters>();
            requestRebuild();
        }
    }
}

std::vector<AnswerCounts> Control::ownAnswerCounts() const
{
    return answerCountsOf(m_config.self.name, m_startIncarnation, m_inputs.serviceCounters);
}

void Control::startRollouts()
{
    stepRollouts();
    m_context.timers.scheduleEvery(RolloutInterval, [this] { stepRollouts(); });
}

void Control::stepRollouts()
{
    updateServiceCounters();
    for (const AnswerCounts &row : ownAnswerCounts())
        m_rollout.mergeAnswerCounts(row);
    for (const RolloutRule &rollout : m_inputs.rules.rollouts)
        m_rollout.setServedEverywhere(rollout.service, rollout.version,
                                      isServedEverywhere(rollout.service, rollout.version));
    m_rollout.tick();
    m_rolloutRecorder.step(m_inputs.rulesVersion);
    std::map<std::string, std::vector<VersionShare>, std::less<>> shares;
    for (const RolloutRule &rollout : m_inputs.rules.rollouts)
        shares[rollout.service] = sharesOf(rollout.service);
    if (shares != m_inputs.versionShares) {
        m_inputs.versionShares = std::move(shares);
        requestRebuild();
    }
}

} // namespace geraniumcart
