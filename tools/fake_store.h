#pragma once

#include <geraniumcart/memory_object_store.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace geraniumcart {

/// Injected faults of the fake store. They apply to requests for objects, never to `/control`.
struct FakeStoreFaults
{
    /// Outage: requests have no effect and get no answer.
    bool outage = false;
    /// True: an outage closes connections at once. False: they stay open without an answer until
    /// the outage ends.
    bool refuse = false;
    /// Requests are answered with 503 and have no effect.
    bool unavailable = false;
    /// Time between the arrival of a request and its effect and answer.
    Duration delay{};
    /// Number of further writes that take effect, but whose connection is closed before the answer.
    std::uint32_t loseAnswers = 0;
    /// Number of further writes that have no effect and whose connection is closed.
    std::uint32_t loseRequests = 0;
};

/// Fake store that takes the place of the platform's object store: serves objects in memory over
/// HTTP/1.1. Must be used on the thread that runs its io_context.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &context);
    ~FakeStore();
    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    /// Listens on @p endpoint; port 0 lets the kernel pick. @return false with @p reason on failure
    bool open(const boost::asio::ip::tcp::endpoint &endpoint, std::string &reason);
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Closes the listener and all connections.
    void close();

    MemoryObjects &objects();
    /// Replaces the faults. An outage with `refuse` closes all connections except those in a
    /// `/control` request. The end of an outage closes the connections whose requests it left
    /// unanswered.
    void setFaults(const FakeStoreFaults &faults);
    const FakeStoreFaults &faults() const;
    /// @return the number of calls by kind since the start
    const StoreCalls &calls() const;
    /// @return the number of connections accepted since the start
    std::uint64_t connections() const;

private:
    class Session;
    struct State;

    void accept();

    std::shared_ptr<State> m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace geraniumcart
