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

struct LoadClientConfig
{
    std::string service;
    ArrivalConfig arrivals;
    /// Arrivals end after this time.
    Duration duration{};
    std::uint64_t seed = 1;
    /// Makes the booking keys of one client unlike those of the others and of other runs.
    std::string keyPrefix;
    Duration deadline = std::chrono::seconds(1);
    /// Most connections that may be open.
    std::uint32_t connections = 64;
    bool sendsIdempotencyKey = true;
    /// A request without a whole answer this long after its deadline ends as timed out.
    Duration grace = std::chrono::seconds(2);
};

/// Sends one arrival process over keep-alive connections. Belongs to one worker.
class LoadClient
{
public:
    LoadClient(Worker &worker, LoadClientConfig config);
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    void setTargets(std::vector<LoadTarget> targets);
    /// @param start intended start of the run
    /// @param done called once all requests have ended
    void start(TimePoint start, std::function<void()> done);

    /// Valid once start()'s callback has run.
    const std::vector<LoadRecord> &records() const { return m_records; }
    Duration largestSendDelay() const { return m_largestSendDelay; }

private:
    class Connection;
    struct Request;
    using ConnectionPointer = std::shared_ptr<Connection>;
    using RequestPointer = std::shared_ptr<Request>;

    void scheduleNext();
    void startDue();
    void dispatch(const RequestPointer &request);
    const LoadTarget *chooseTarget();
    ConnectionPointer takeIdle(const std::string &address);
    ConnectionPointer takeAnyIdle();
    void open(const std::string &address, const RequestPointer &request);
    void onConnected(const ConnectionPointer &connection, bool isConnected);
    void onIdle(const ConnectionPointer &connection);
    void onLost(const ConnectionPointer &connection);
    void onNotSent(const RequestPointer &request);
    void onTimeout(const RequestPointer &request);
    void end(const RequestPointer &request);
    bool isListed(const std::string &address) const;
    void finishIfDone();

    Worker &m_worker;
    LoadClientConfig m_config;
    ArrivalProcess m_arrivals;
    std::mt19937_64 m_random;
    PlannedRequest m_next;
    TimePoint m_start{};
    std::function<void()> m_done;
    bool m_hasEnded = false;
    std::vector<LoadTarget> m_targets;
    /// Addresses that refused a connection, until when they are avoided.
    std::map<std::string, TimePoint> m_avoidUntil;
    std::unordered_set<ConnectionPointer> m_connections;
    std::unordered_map<std::string, std::vector<ConnectionPointer>> m_idle;
    std::deque<RequestPointer> m_queue;
    std::uint64_t m_pending = 0;
    std::vector<LoadRecord> m_records;
    Duration m_largestSendDelay{};
};

} // namespace geraniumcart::tools
