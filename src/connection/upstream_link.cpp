#include "connection/upstream_link_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace geraniumcart {

namespace asio = boost::asio;
using boost::system::error_code;

UpstreamLink::UpstreamLink(asio::io_context &context, const UpstreamHeaderNames &names,
                           OpenAnswers &openAnswers, UpstreamLinkListener &listener)
    : m_socket(context)
    , m_names(names)
    , m_listener(&listener)
    , m_reader(m_names, openAnswers)
{
}

UpstreamLink::~UpstreamLink() = default;

std::optional<Duration> UpstreamLink::keepAlive() const
{
    return m_reader.keepAlive();
}

void UpstreamLink::open(const asio::ip::tcp::endpoint &endpoint)
{
    m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
        if (!self->m_listener)
            return;
        error_code failed = error;
        if (!failed)
            self->m_socket.non_blocking(true, failed);
        if (failed) {
            self->reportLoss(ExchangeFailure::NotSent);
            return;
        }
        error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read();
        self->m_listener->onLinkOpen(*self);
    });
}

void UpstreamLink::encode(const ForwardRequest &request, const std::string &instanceId,
                          Duration remaining)
{
    m_out.clear();
    m_out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const HeaderField &field : request.headers)
        m_out.append(field.name).append(": ").append(field.value).append("\r\n");
    const auto remainingMs = std::chrono::floor<std::chrono::milliseconds>(remaining).count();
    m_out.append(m_names.deadline)
            .append(": ")
            .append(std::to_string(std::max<std::int64_t>(remainingMs, 1)));
    m_out.append("\r\n").append(m_names.expectedInstance).append(": ").append(instanceId);
    m_out.append("\r\n");
    if (request.hasBody)
        m_out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    m_out.append("\r\n").append(request.body);
}

bool UpstreamLink::start(const ForwardRequest &request, const std::string &instanceId,
                         Duration remaining)
{
    encode(request, instanceId, remaining);
    return write(request.id, request.method == "HEAD");
}

bool UpstreamLink::startHealthRequest(const std::string &path, const std::string &host)
{
    m_out = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
    return write({}, false);
}

bool UpstreamLink::write(const std::string &requestId, bool isHead)
{
    // A single non-blocking write shows reliably whether any byte was accepted.
    error_code error;
    const std::size_t written = m_socket.write_some(asio::buffer(m_out), error);
    if (error || written == 0) {
        close();
        return false;
    }
    m_hasReceived = false;
    m_reader.start(requestId, isHead);
    if (written < m_out.size())
        writeRest(written);
    return true;
}

void UpstreamLink::writeRest(std::size_t offset)
{
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_out) + offset,
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->m_isWriting = false;
                          // The searcher may have answered and closed the connection before it had
                          // read the complete body. The answer can still be read, so a loss is left
                          // to read() to report.
                          if (error && self->m_listener && !self->m_hasReceived &&
                              error != asio::error::broken_pipe &&
                              error != asio::error::connection_reset)
                              self->reportLoss(ExchangeFailure::Lost);
                      });
}

void UpstreamLink::close()
{
    m_listener = nullptr;
    m_reader.stop();
    error_code ignored;
    m_socket.close(ignored);
}

void UpstreamLink::read()
{
    m_socket.async_read_some(
            asio::buffer(m_incoming),
            [self = shared_from_this()](const error_code &error, std::size_t size) {
                if (self->m_listener)
                    self->onRead(error, size);
            });
}

void UpstreamLink::onRead(const error_code &error, std::size_t size)
{
    if (!error) {
        m_hasReceived = true;
        onProgress(m_reader.feed({m_incoming.data(), size}));
    } else if (error == asio::error::eof && m_reader.end() == AnswerReader::Progress::Answer) {
        onProgress(AnswerReader::Progress::Answer);
    } else {
        reportLoss(ExchangeFailure::Lost);
    }
}

void UpstreamLink::onProgress(AnswerReader::Progress progress)
{
    switch (progress) {
    case AnswerReader::Progress::NeedMore:
        read();
        return;
    case AnswerReader::Progress::Malformed:
        reportLoss(ExchangeFailure::Malformed);
        return;
    case AnswerReader::Progress::Answer:
        break;
    }
    const bool isReusable = m_reader.isReusable() && !m_isWriting;
    UpstreamLinkListener *listener = m_listener;
    if (isReusable)
        read();
    else
        close();
    listener->onLinkReply(*this, m_reader.takeReply(), isReusable);
}

void UpstreamLink::reportLoss(ExchangeFailure failure)
{
    UpstreamLinkListener *listener = m_listener;
    close();
    listener->onLinkLost(*this, failure);
}

} // namespace geraniumcart
