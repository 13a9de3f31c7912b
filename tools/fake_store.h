#pragma once

#include <geraniumcart/memory_object_store.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace geraniumcart {

/// Faults of the stand-in store. They concern the object calls, never `/control`.
struct FakeStoreFaults
{
    /// Requests have no effect and get no answer.
    bool outage = false;
    /// In an outage, connections are closed at once; otherwise they stay open and silent.
    bool refuse = false;
    /// Requests are answered with 503 and have no effect.
    bool unavailable = false;
    /// Each request takes effect and is answered this much later.
    Duration delay{};
    /// Number of coming writes that take effect and lose their answer with the connection.
    std::uint32_t loseAnswers = 0;
    /// Number of coming writes that have no effect and lose their connection.
    std::uint32_t loseRequests = 0;
};

/// Stand-in for the platform's object store: HTTP/1.1, in memory. Belongs to the thread of its
/// io_context.
class FakeStore
{
public:
    explicit FakeStore(boost::asio::io_context &context);
    ~FakeStore();
    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    /// Listens on @p endpoint; port 0 picks a free one. @return false with @p reason on failure.
    bool open(const boost::asio::ip::tcp::endpoint &endpoint, std::string &reason);
    boost::asio::ip::tcp::endpoint endpoint() const;
    /// Closes the listener and all connections.
    void close();

    MemoryObjects &objects();
    void setFaults(const FakeStoreFaults &faults);
    const FakeStoreFaults &faults() const;
    const StoreCalls &calls() const;
    /// Connections accepted since the start.
    std::uint64_t connections() const;

private:
    class Session;
    struct State;

    void accept();

    std::shared_ptr<State> m_state;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace geraniumcart
