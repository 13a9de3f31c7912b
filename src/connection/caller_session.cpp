#include "connection/caller_session_p.h"

#include <geraniumcart/invariants.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace geraniumcart {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::string_view ContinueMessage = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view HeadRequestStart = "HEAD ";

Refusal makeRefusal(RefusalKind kind, std::string reason)
{
    return {kind, std::move(reason), true, std::nullopt};
}

} // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket, TimerService &timers,
                             CallerHandler &handler, const CallerLimits &limits,
                             ClosedCallback onClosed)
    : m_socket(std::move(socket))
    , m_timers(timers)
    , m_handler(handler)
    , m_limits(limits)
    , m_onClosed(std::move(onClosed))
{
}

void CallerSession::start()
{
    error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    awaitRequest();
}

void CallerSession::drain()
{
    m_isDraining = true;
    if (m_state == State::Idle)
        startTimer(m_limits.drainGrace);
}

void CallerSession::readMore()
{
    if (m_isReadPending || m_hasReadEnded)
        return;
    m_isReadPending = true;
    m_socket.async_read_some(boost::asio::buffer(m_incoming),
                             [self = shared_from_this()](error_code error, std::size_t bytes) {
                                 self->onRead(error, bytes);
                             });
}

void CallerSession::onRead(error_code error, std::size_t bytes)
{
    m_isReadPending = false;
    if (m_state == State::Closed)
        return;
    if (error) {
        onReadEnd(error);
        return;
    }
    if (m_state == State::Lingering) {
        readMore();
        return;
    }
    const auto target = m_buffer.prepare(bytes);
    std::copy_n(m_incoming.data(), bytes, static_cast<char *>(target.data()));
    m_buffer.commit(bytes);
    m_chunks.push_back({bytes, m_timers.now()});
    if (m_state == State::Idle || m_state == State::Reading)
        parse();
    else if (m_buffer.size() < m_limits.headerBytes)
        readMore();
}

void CallerSession::onReadEnd(error_code error)
{
    m_hasReadEnded = true;
    // A caller that only shut down its sending side can still receive the response in progress.
    if (m_state == State::Writing && error == boost::asio::error::eof)
        return;
    if (m_state == State::Running)
        m_handler.abandon(std::exchange(m_callId, 0));
    close();
}

void CallerSession::awaitRequest()
{
    if (m_hasReadEnded) {
        close();
        return;
    }
    m_state = State::Idle;
    m_isHeaderHandled = false;
    m_isHead = false;
    if (const auto limits = m_handler.limits())
        m_limits = *limits;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->eager(true);
    if (m_buffer.size() > 0) {
        parse();
        return;
    }
    startTimer(m_isDraining ? m_limits.drainGrace : m_limits.idleTimeout);
    readMore();
}

void CallerSession::parse()
{
    if (m_state == State::Idle) {
        m_state = State::Reading;
        m_arrival = m_chunks.front().arrival;
        startTimer(m_limits.readTimeout);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        error_code error;
        const std::size_t used = m_parser->put(m_buffer.cdata(), error);
        consume(used);
        m_isHead = isHeadRequest();
        if (error == http::error::need_more)
            break;
        if (error) {
            refuseUnparsed(error);
            return;
        }
    }
    // The parser consumes a body as it arrives. What is left is a header, a chunk's header or the
    // trailers, which it consumes only as a whole.
    if (!m_parser->is_done() && m_buffer.size() > m_limits.headerBytes) {
        refuseUnparsed(http::error::header_limit);
        return;
    }
    if (m_parser->is_header_done() && !std::exchange(m_isHeaderHandled, true))
        onHeader();
    if (!m_parser->is_done())
        readMore();
    else if (!m_isSendingContinue)
        dispatch();
}

void CallerSession::onHeader()
{
    const auto expected = m_parser->get().find(http::field::expect);
    if (!m_parser->is_done() && expected != m_parser->get().end() &&
        boost::beast::iequals(expected->value(), "100-continue"))
        sendContinue();
}

bool CallerSession::isHeadRequest() const
{
    const http::verb method = m_parser->get().method();
    if (method != http::verb::unknown)
        return method == http::verb::head;
    // The parser consumes the request line only as a whole.
    const auto unparsed = m_buffer.cdata();
    return std::string_view(static_cast<const char *>(unparsed.data()), unparsed.size())
            .starts_with(HeadRequestStart);
}

void CallerSession::sendContinue()
{
    m_isSendingContinue = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(ContinueMessage),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 self->m_isSendingContinue = false;
                                 if (self->m_state == State::Closed)
                                     return;
                                 if (error)
                                     self->close();
                                 else if (self->m_response)
                                     self->write();
                                 else if (self->m_parser->is_done())
                                     self->dispatch();
                             });
}

void CallerSession::refuseUnparsed(error_code error)
{
    // The start of the next request is unknown, so the connection cannot be kept alive.
    if (error == http::error::header_limit)
        respond(m_handler.refuse(makeRefusal(
                RefusalKind::HeaderTooLarge,
                "the header is longer than " + std::to_string(m_limits.headerBytes) + " bytes")));
    else if (error == http::error::body_limit)
        respond(m_handler.refuse(makeRefusal(
                RefusalKind::BodyTooLarge,
                "the body is longer than " + std::to_string(m_limits.bodyBytes) + " bytes")));
    else
        respond(m_handler.refuse(
                makeRefusal(RefusalKind::BadRequest, "malformed request: " + error.message())));
}

void CallerSession::dispatch()
{
    stopTimer();
    m_state = State::Running;
    try {
        handOver();
    } catch (...) {
        // A running request has no timeout here, so its connection would stay open for good.
        close();
        throw;
    }
    readMore();
}

void CallerSession::handOver()
{
    const std::uint64_t sequence = ++m_sequence;
    const CallId call =
            m_handler.handle(m_parser->release(), {m_arrival, sequence == 1},
                             [weak = weak_from_this(), sequence](HttpResponse response) {
                                 if (const auto self = weak.lock())
                                     self->onResponse(sequence, std::move(response));
                             });
    if (m_state == State::Running)
        m_callId = call;
}

void CallerSession::onResponse(std::uint64_t sequence, HttpResponse response)
{
    if (m_state == State::Closed)
        return;
    if (!checkInvariant(Invariant::OwnAnswer, m_state == State::Running && sequence == m_sequence,
                        "received a response to a request other than the running one"))
        return;
    m_callId = 0;
    respond(std::move(response));
}

void CallerSession::respond(HttpResponse response)
{
    m_state = State::Writing;
    if (m_isDraining)
        response.keep_alive(false);
    m_response = std::move(response);
    startTimer(m_limits.writeTimeout);
    if (!m_isSendingContinue)
        write();
}

void CallerSession::write()
{
    const auto onDone = [self = shared_from_this()](error_code error, std::size_t) {
        self->onWritten(error);
    };
    if (!m_isHead) {
        http::async_write(m_socket, *m_response, onDone);
        return;
    }
    m_headerSerializer.emplace(*m_response);
    m_headerSerializer->split(true);
    http::async_write_header(m_socket, *m_headerSerializer, onDone);
}

void CallerSession::onWritten(error_code error)
{
    const bool keepsAlive = m_response->keep_alive();
    m_headerSerializer.reset();
    m_response.reset();
    if (m_state == State::Closed)
        return;
    if (error)
        close();
    else if (!keepsAlive)
        linger();
    else
        awaitRequest();
}

void CallerSession::linger()
{
    if (m_hasReadEnded) {
        close();
        return;
    }
    m_state = State::Lingering;
    error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(m_limits.lingerTimeout);
    readMore();
}

void CallerSession::close()
{
    if (std::exchange(m_state, State::Closed) == State::Closed)
        return;
    stopTimer();
    error_code ignored;
    m_socket.close(ignored);
    m_onClosed(*this);
}

void CallerSession::consume(std::size_t bytes)
{
    m_buffer.consume(bytes);
    while (bytes > 0) {
        Chunk &oldest = m_chunks.front();
        const std::size_t consumed = std::min(bytes, oldest.bytes);
        oldest.bytes -= consumed;
        bytes -= consumed;
        if (oldest.bytes == 0)
            m_chunks.pop_front();
    }
}

void CallerSession::startTimer(Duration delay)
{
    stopTimer();
    m_timer = m_timers.schedule(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimeout();
    });
}

void CallerSession::stopTimer()
{
    if (m_timer != 0)
        m_timers.cancel(std::exchange(m_timer, 0));
}

void CallerSession::onTimeout()
{
    m_timer = 0;
    switch (m_state) {
    case State::Idle:
        linger();
        return;
    case State::Reading:
        respond(m_handler.refuse(makeRefusal(RefusalKind::RequestTimeout,
                                             "the request was not received completely in time")));
        return;
    case State::Writing:
    case State::Lingering:
        close();
        return;
    case State::Running:
    case State::Closed:
        return;
    }
}

} // namespace geraniumcart
