#pragma once

#include "connection/caller_handler_p.h"

#include <geraniumcart/timer_service.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace geraniumcart {

/// One caller's connection. Requests are handled one after the other; what the caller pipelines
/// waits. Reading goes on while a request runs, so that the end of the connection is noticed; a
/// caller that ends its sending side counts as gone. Belongs to one worker.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    using ClosedCallback = std::function<void(CallerSession &)>;

    /// @param onClosed called once, when the connection has been closed
    CallerSession(boost::asio::ip::tcp::socket socket, TimerService &timers, CallerHandler &handler,
                  const CallerLimits &limits, ClosedCallback onClosed);

    void start();
    /// Closes after the current answer; an idle connection is closed after
    /// CallerLimits::drainGrace.
    void drain();

private:
    enum class State : std::uint8_t {
        /// No byte of the next request is there.
        Idle,
        Reading,
        Running,
        Writing,
        /// The sending side is closed; what still comes in is dropped.
        Lingering,
        Closed,
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Bytes that one read brought and that were not parsed yet.
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
    void sendContinue();
    void refuseUnparsed(boost::system::error_code error);
    void dispatch();
    void onAnswer(std::uint64_t sequence, HttpResponse response);
    void respond(HttpResponse response);
    void write();
    void onWritten(boost::system::error_code error);
    void linger();
    void close();
    void consume(std::size_t bytes);
    void arm(Duration delay);
    void disarm();
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
    bool m_isContinuing = false;
    bool m_isHeaderSeen = false;
    TimerId m_timer = 0;

    std::array<char, 8192> m_incoming;
    boost::beast::flat_buffer m_buffer;
    std::deque<Chunk> m_chunks;
    std::optional<Parser> m_parser;
    TimePoint m_arrival{};

    /// Counts requests, so that an answer is matched with its request.
    std::uint64_t m_sequence = 0;
    CallId m_call = 0;
    std::optional<HttpResponse> m_response;
};

} // namespace geraniumcart
