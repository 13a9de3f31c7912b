#pragma once

#include "searcher_model.h"

#include "process/worker_pool_p.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

namespace geraniumcart::tools {

/// Listener and connections of one stand-in searcher. Belongs to one worker once it is started;
/// open() may run before the worker's thread does.
class FakeSearcherPort
{
public:
    FakeSearcherPort(Worker &worker, SearcherModelConfig config, std::uint64_t seed);
    ~FakeSearcherPort();
    FakeSearcherPort(const FakeSearcherPort &) = delete;
    FakeSearcherPort &operator=(const FakeSearcherPort &) = delete;

    /// @param port 0 lets the kernel pick. @return false with @p reason on failure
    bool open(const std::string &ip, std::uint16_t port, std::string &reason);
    /// Closes listener and connections and ends all requests.
    void close();
    /// Listens on the same port again, with a new boot id. No effect while open.
    void reopen();
    void closeConnections();
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
    /// Grows when the listener is closed; an accept that completed before is dropped.
    std::uint64_t m_listenerGeneration = 0;
    std::unordered_set<std::shared_ptr<Session>> m_sessions;
};

} // namespace geraniumcart::tools
