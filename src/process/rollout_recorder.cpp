#include "process/rollout_recorder_p.h"

#include "process/log_p.h"

namespace geraniumcart {

namespace {

/// Pause after a failed write, so that an outage of the store is not met with a call every step.
constexpr std::chrono::seconds RetryPause{1};

bool isSameMove(const RolloutRecord &a, const RolloutRecord &b)
{
    return a.version == b.version && a.by == b.by;
}

} // namespace

RolloutRecorder::RolloutRecorder(LeaseKeeper &lease, ObjectStore &store, TimerService &timers,
                                 Rollout &rollout)
    : m_lease(lease)
    , m_store(store)
    , m_timers(timers)
    , m_rollout(rollout)
{
}

void RolloutRecorder::take(const StoredObject &object)
{
    const auto record = parseRolloutRecord(object.value);
    if (!record || object.key != RolloutRecordPrefix + record->service) {
        logEvent(LogLevel::Error, "moveRecordRefused",
                 {{"key", object.key}, {"version", object.version}});
        return;
    }
    Known &known = m_known[record->service];
    if (object.version <= known.objectVersion)
        return;
    known = {object.version, *record};
    apply(*record);
}

void RolloutRecorder::apply(const RolloutRecord &record)
{
    if (record.state == RolloutPhase::Done)
        m_rollout.applyCompletion(record.service, record.version, record.by);
    else
        m_rollout.applyStop({record.service, record.version, record.by, record.reason});
}

void RolloutRecorder::step(std::uint64_t rulesVersion)
{
    // A record may have come before the rule that it is about.
    for (const auto &[service, known] : m_known)
        apply(known.record);
    if (!m_lease.isHeld() || m_timers.now() < m_retryAt)
        return;
    for (const RolloutStatus &status : m_rollout.statuses()) {
        const RolloutRecord ended{status.rule.service, status.rule.version, status.rule.by,
                                  status.state,        status.reason,       rulesVersion};
        if (status.state != RolloutPhase::InProgress && needsWrite(ended))
            write(ended);
    }
}

bool RolloutRecorder::needsWrite(const RolloutRecord &ended) const
{
    const auto found = m_known.find(ended.service);
    if (found == m_known.end())
        return true;
    const RolloutRecord &known = found->second.record;
    if (isSameMove(known, ended))
        // A finished move can still be taken back, but not the other way round.
        return known.state == RolloutPhase::Done && ended.state == RolloutPhase::RolledBack;
    return known.rulesVersion < ended.rulesVersion;
}

void RolloutRecorder::write(const RolloutRecord &ended)
{
    if (!m_writing.insert(ended.service).second)
        return;
    // Reading first also finds an earlier write whose answer was lost.
    m_store.get(RolloutRecordPrefix + ended.service,
                [this, ended, alive = std::weak_ptr(m_alive)](std::optional<StoredObject> object,
                                                              StoreError error) {
                    if (!alive.expired())
                        onRead(ended, object, error);
                });
}

void RolloutRecorder::onRead(const RolloutRecord &ended, const std::optional<StoredObject> &object,
                             StoreError error)
{
    if (!object && error != StoreError::NotFound)
        return finish(ended.service, false);
    if (object)
        take(*object);
    if (!needsWrite(ended))
        return finish(ended.service, true);
    const std::string key = RolloutRecordPrefix + ended.service;
    std::string value = formatRolloutRecord(ended);
    m_lease.write(key, object ? object->version : 0, value,
                  [this, ended, key, value, alive = std::weak_ptr(m_alive)](
                          std::optional<std::uint64_t> version, StoreError) {
                      if (alive.expired())
                          return;
                      if (version)
                          take({key, *version, value});
                      finish(ended.service, version.has_value());
                  });
}

void RolloutRecorder::finish(const std::string &service, bool isConfirmed)
{
    m_writing.erase(service);
    if (!isConfirmed)
        m_retryAt = m_timers.now() + RetryPause;
}

} // namespace geraniumcart
