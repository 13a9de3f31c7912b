#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace geraniumcart::test {

/// Server that accepts one connection, answers its first request with fixed bytes and closes it.
struct FixedAnswerServer
{
    FixedAnswerServer(boost::asio::io_context &context, std::string answer)
        : acceptor(context,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , socket(context)
        , bytes(std::move(answer))
    {
        acceptor.async_accept(socket, [this](boost::system::error_code) {
            boost::asio::async_read_until(
                    socket, buffer, "\r\n\r\n", [this](boost::system::error_code, std::size_t) {
                        boost::asio::async_write(
                                socket, boost::asio::buffer(bytes),
                                [this](boost::system::error_code, std::size_t) { socket.close(); });
                    });
        });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf buffer;
    std::string bytes;
};

/// Server that answers one request on each of its first connections and leaves later requests on
/// them unanswered. On further connections it answers every request.
struct SilencedServer
{
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::streambuf buffer;
        bool isSilent = false;
    };

    /// @param count number of connections that get one answer and no further ones
    SilencedServer(boost::asio::io_context &context, std::size_t count)
        : acceptor(context,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , silenced(count)
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept(
                [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                    if (error)
                        return;
                    connections.push_back(std::make_unique<Connection>(std::move(socket)));
                    read(*connections.back(), connections.size() <= silenced);
                    accept();
                });
    }

    void read(Connection &connection, bool goesSilent)
    {
        boost::asio::async_read_until(
                connection.socket, connection.buffer, "\r\n\r\n",
                [this, &connection, goesSilent](boost::system::error_code error, std::size_t size) {
                    if (error || connection.isSilent)
                        return;
                    connection.buffer.consume(size);
                    connection.isSilent = goesSilent;
                    boost::asio::write(connection.socket, boost::asio::buffer(answer), error);
                    read(connection, goesSilent);
                });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::size_t silenced;
    std::string answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    std::vector<std::unique_ptr<Connection>> connections;
};

} // namespace geraniumcart::test
