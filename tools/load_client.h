#pragma once

#include "load_answer.h"
#include "load_plan.h"
#include "load_report.h"

#include "process/worker_pool_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace geraniumcart::tools {

/// Settings of one load client; the load tool runs one client per worker thread.
struct LoadClientConfig
{
    std::string service;
    ArrivalConfig arrivals;
    /// All requests have an intended start within this time after the start of the run.
    Duration duration{};
    std::uint64_t seed = 1;
    /// Prefix of the booking keys; differs between clients and between runs, so that keys are
    /// unique.
    std::string keyPrefix;
    Duration deadline = std::chrono::seconds(1);
    /// Maximum number of open connections. Further requests wait in a queue.
    std::uint32_t connections = 64;
    bool sendsIdempotencyKey = true;
    /// A request without a complete answer this long after its deadline ends as timed out.
    Duration grace = std::chrono::seconds(2);
};

/// Sends the requests of one arrival process over keep-alive connections. Requests start at their
/// intended times, whether or not earlier ones were answered. Runs on the thread of one worker; all
/// functions must be called there.
class LoadClient
{
public:
    LoadClient(Worker &worker, LoadClientConfig config);
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /// Replaces the targets. Idle connections to targets that are no longer listed are closed at
    /// once, busy ones after the answer.
    void setTargets(std::vector<LoadTarget> targets);
    /// @param start intended start of the run
    /// @param done called on the worker's thread once all requests have ended
    void start(TimePoint start, std::function<void()> done);

    /// Complete once the callback of start() has run.
    const std::vector<LoadRecord> &records() const { return m_records; }
    /// Longest time between the intended and the actual start of a request.
    Duration largestSendDelay() const { return m_largestSendDelay; }

private:
    class Connection;
    struct Request;
    using ConnectionPointer = std::shared_ptr<Connection>;
    using RequestPointer = std::shared_ptr<Request>;

    void scheduleNext();
    void startDueRequests();
    void dispatch(const RequestPointer &request);
    const LoadTarget *chooseTarget();
    ConnectionPointer popIdle(const std::string &address);
    ConnectionPointer popAnyIdle();
    void openConnection(const std::string &address, const RequestPointer &request);
    void onConnected(const ConnectionPointer &connection, bool isConnected);
    void onIdle(const ConnectionPointer &connection);
    void closeConnection(const ConnectionPointer &connection);
    void onSendFailed(const RequestPointer &request);
    void onTimeout(const RequestPointer &request);
    void endRequest(const RequestPointer &request);
    bool isListed(const std::string &address) const;
    void finishIfDone();

    Worker &m_worker;
    LoadClientConfig m_config;
    ArrivalProcess m_arrivals;
    std::mt19937_64 m_random;
    PlannedRequest m_nextRequest;
    TimePoint m_start{};
    std::function<void()> m_done;
    bool m_arrivalsEnded = false;
    std::vector<LoadTarget> m_targets;
    /// Addresses whose connection attempt failed, with the time until which they are avoided.
    std::map<std::string, TimePoint> m_avoidUntil;
    std::unordered_set<ConnectionPointer> m_connections;
    std::unordered_map<std::string, std::vector<ConnectionPointer>> m_idle;
    std::deque<RequestPointer> m_waitingRequests;
    std::uint64_t m_pending = 0;
    std::vector<LoadRecord> m_records;
    Duration m_largestSendDelay{};
};

} // namespace geraniumcart::tools
