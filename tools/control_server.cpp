#include "control_server.h"

#include "connection/endpoint_p.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace geraniumcart::tools {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// One connection; it handles one request at a time. Its pending operation keeps it alive.
class ControlServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(const Handler &handler, tcp::socket socket)
        : m_handler(handler)
        , m_socket(std::move(socket))
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(
                m_socket, m_buffer, m_request,
                [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                    if (!error)
                        self->answer();
                });
    }

private:
    void answer()
    {
        m_response = m_handler(m_request);
        m_response.keep_alive(m_request.keep_alive());
        http::async_write(
                m_socket, m_response,
                [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                    if (!error && self->m_response.keep_alive())
                        self->read();
                });
    }

    const Handler &m_handler;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    HttpRequest m_request;
    HttpResponse m_response;
};

ControlServer::ControlServer(Handler handler)
    : m_handler(std::move(handler))
{
}

ControlServer::~ControlServer()
{
    stop();
}

bool ControlServer::start(const std::string &address, std::string &reason)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        reason = "not an IP:PORT address: " + address;
        return false;
    }
    boost::system::error_code code;
    if (m_acceptor.open(endpoint->protocol(), code) ||
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), code) ||
        m_acceptor.bind(*endpoint, code) ||
        m_acceptor.listen(asio::socket_base::max_listen_connections, code)) {
        reason = "cannot listen on " + address + ": " + code.message();
        return false;
    }
    accept();
    m_thread = std::thread([this] { m_context.run(); });
    return true;
}

void ControlServer::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

std::string ControlServer::address() const
{
    const tcp::endpoint endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void ControlServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        accept();
        if (!error)
            std::make_shared<Session>(m_handler, std::move(socket))->read();
    });
}

HttpResponse makeJsonResponse(http::status status, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace geraniumcart::tools
