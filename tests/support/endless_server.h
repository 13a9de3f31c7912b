#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace geraniumcart::test {

/// Server that answers the first bytes of each connection with a text and then repeats another text
/// until the peer closes the connection. Runs on the test's io_context.
class EndlessServer
{
public:
    using Tcp = boost::asio::ip::tcp;

    /// @param interval time between two repetitions; zero writes as fast as the peer reads
    EndlessServer(boost::asio::io_context &context, std::string start, std::string repeated,
                  std::chrono::milliseconds interval)
        : m_acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_start(std::move(start))
        , m_repeated(std::move(repeated))
        , m_interval(interval)
    {
        // A few kilobytes in one write keep the number of writes small.
        if (m_interval.count() == 0)
            while (m_repeated.size() < 4096)
                m_repeated += m_repeated;
        accept();
    }

    Tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    /// Number of connections that the peer has not closed.
    int open() const { return m_open; }
    /// Number of connections that were accepted.
    int accepted() const { return m_accepted; }

private:
    struct Session
    {
        explicit Session(Tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }
        Tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 4096> request{};
    };
    using SessionPtr = std::shared_ptr<Session>;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (error)
                return;
            ++m_open;
            ++m_accepted;
            const auto session = std::make_shared<Session>(std::move(socket));
            session->socket.async_read_some(
                    boost::asio::buffer(session->request),
                    [this, session](boost::system::error_code failed, std::size_t) {
                        if (failed)
                            --m_open;
                        else
                            write(session, m_start);
                    });
            accept();
        });
    }

    void write(const SessionPtr &session, const std::string &text)
    {
        boost::asio::async_write(session->socket, boost::asio::buffer(text),
                                 [this, session](boost::system::error_code error, std::size_t) {
                                     if (error) {
                                         --m_open;
                                         return;
                                     }
                                     session->timer.expires_after(m_interval);
                                     session->timer.async_wait(
                                             [this, session](auto) { write(session, m_repeated); });
                                 });
    }

    Tcp::acceptor m_acceptor;
    const std::string m_start;
    std::string m_repeated;
    const std::chrono::milliseconds m_interval;
    int m_open = 0;
    int m_accepted = 0;
};

} // namespace geraniumcart::test
