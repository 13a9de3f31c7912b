#pragma once

#include "connection/caller_handler_p.h"

#include <geraniumcart/timer_service.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace geraniumcart {

/// One caller's HTTP connection. Requests are handled one at a time; pipelined requests wait in the
/// buffer. The socket is read while a request runs, in order to detect the end of the connection. A
/// caller that shuts down its sending side is treated as disconnected, and its running request is
/// abandoned; a response that is already being sent is completed. Of the response to a HEAD request
/// only the header is sent, whichever handler made it. Used only on the thread of one worker.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    using ClosedCallback = std::function<void(CallerSession &)>;

    /// @param onClosed called exactly once, after the connection was closed
    CallerSession(boost::asio::ip::tcp::socket socket, TimerService &timers, CallerHandler &handler,
                  const CallerLimits &limits, ClosedCallback onClosed);

    /// Starts reading the first request.
    void start();
    /// Closes the connection after the current response. An idle connection is closed after
    /// CallerLimits::drainGrace, since a request may already be in transit.
    void drain();

private:
    enum class State : std::uint8_t {
        /// No byte of the next request was received yet.
        Idle,
        /// Part of a request was received.
        Reading,
        /// The handler is processing a request.
        Running,
        /// A response is being sent.
        Writing,
        /// The sending side is shut down; received bytes are discarded until the caller closes the
        /// connection or CallerLimits::lingerTimeout has passed.
        Lingering,
        Closed,
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Unparsed bytes of one read and the time of that read.
    struct Chunk
    {
        std::size_t bytes = 0;
        TimePoint arrival{};
    };

    void readMore();
    void onRead(boost::system::error_code error, std::size_t bytes);
    void onReadEnd(boost::system::error_code error);
    void awaitRequest();
    void parse();
    void onHeader();
    /// True if the request that the parser reads is a HEAD request, as far as it has arrived.
    bool isHeadRequest() const;
    void sendContinue();
    void refuseUnparsed(boost::system::error_code error);
    void dispatch();
    /// Passes the request to the handler.
    void handOver();
    void onResponse(std::uint64_t sequence, HttpResponse response);
    void respond(HttpResponse response);
    void write();
    void onWritten(boost::system::error_code error);
    void linger();
    void close();
    void consume(std::size_t bytes);
    void startTimer(Duration delay);
    void stopTimer();
    void onTimeout();

    boost::asio::ip::tcp::socket m_socket;
    TimerService &m_timers;
    CallerHandler &m_handler;
    CallerLimits m_limits;
    ClosedCallback m_onClosed;

    State m_state = State::Idle;
    bool m_isDraining = false;
    bool m_isReadPending = false;
    bool m_hasReadEnded = false;
    /// An interim `100 Continue` is being written.
    bool m_isSendingContinue = false;
    bool m_isHeaderHandled = false;
    /// The current request is a HEAD request.
    bool m_isHead = false;
    TimerId m_timer = 0;

    std::array<char, 8192> m_incoming;
    boost::beast::flat_buffer m_buffer;
    std::deque<Chunk> m_chunks;
    std::optional<Parser> m_parser;
    TimePoint m_arrival{};

    /// Number of the current request; used to check that a response belongs to it.
    std::uint64_t m_sequence = 0;
    CallId m_callId = 0;
    std::optional<HttpResponse> m_response;
    /// Writes the header of m_response alone, in answer to a HEAD request.
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>>
            m_headerSerializer;
};

} // namespace geraniumcart
