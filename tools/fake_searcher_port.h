#pragma once

#include "searcher_model.h"

#include "process/worker_pool_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

namespace geraniumcart::tools {

/// Listener and connections of one fake searcher. Once the worker's thread runs, all calls must
/// be made on it; open() may be called before that.
class FakeSearcherPort
{
public:
    FakeSearcherPort(Worker &worker, SearcherModelConfig config, std::uint64_t seed);
    ~FakeSearcherPort();
    FakeSearcherPort(const FakeSearcherPort &) = delete;
    FakeSearcherPort &operator=(const FakeSearcherPort &) = delete;

    /// Starts to listen. @param port TCP port; 0 lets the kernel pick
    /// @return false with @p reason on failure
    bool open(const std::string &ip, std::uint16_t port, std::string &reason);
    /// Closes the listener and all connections and ends all requests without an answer.
    void close();
    /// Listens on the same TCP port again, cold and with a new boot id. No effect while open. If
    /// the TCP port is no longer free, isOpen() stays false.
    void reopen();
    void closeConnections();
    /// Makes the connections that are open now never answer again.
    void silenceOpenConnections();

    bool isOpen() const { return m_acceptor.is_open(); }
    std::string address() const;
    SearcherModel &model() { return m_model; }

private:
    class Session;
    using Executor = boost::asio::io_context::executor_type;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

    bool listen(std::string &reason);
    void accept();
    void onAccepted(Socket socket);

    Worker &m_worker;
    SearcherModel m_model;
    boost::asio::ip::tcp::endpoint m_endpoint;
    Acceptor m_acceptor;
    /// Incremented when the listener is closed. An accept handler with an older value drops its
    /// connection, which was accepted before the close.
    std::uint64_t m_listenerGeneration = 0;
    std::unordered_set<std::shared_ptr<Session>> m_sessions;
};

} // namespace geraniumcart::tools
