#include "connection/searcher_connection_p.h"

#include "connection/searcher_answer_parser_p.h"

#include <geraniumcart/config.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/basic_parser_impl.hpp>

#include <charconv>
#include <cstring>
#include <utility>
#include <vector>

namespace geraniumcart {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

namespace {

/// Initial size of a connection's receive buffer. The buffer doubles when it is full.
constexpr std::size_t ReadBufferBytes = 8 * 1024;
/// Maximum size of the receive buffer. The header of an answer must fit into it.
constexpr std::size_t MaxReadBufferBytes = 64 * 1024;
/// Maximum nesting depth of an answer's JSON value.
constexpr std::size_t MaxJsonDepth = 256;

template <typename Number>
void appendNumber(std::string &out, Number value)
{
    std::array<char, 24> digits;
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    out.append(digits.data(), result.ptr);
}

/// Handler that makes Boost.JSON's parser validate a text without storing its values. Boost.JSON
/// prescribes the member names.
// NOLINTBEGIN(readability-identifier-naming)
struct JsonEvents
{
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    bool on_document_begin(error_code &) { return true; }
    bool on_document_end(error_code &) { return true; }
    bool on_array_begin(error_code &) { return true; }
    bool on_array_end(std::size_t, error_code &) { return true; }
    bool on_object_begin(error_code &) { return true; }
    bool on_object_end(std::size_t, error_code &) { return true; }
    bool on_string_part(json::string_view, std::size_t, error_code &) { return true; }
    bool on_string(json::string_view, std::size_t, error_code &) { return true; }
    bool on_key_part(json::string_view, std::size_t, error_code &) { return true; }
    bool on_key(json::string_view, std::size_t, error_code &) { return true; }
    bool on_number_part(json::string_view, error_code &) { return true; }
    bool on_int64(std::int64_t, json::string_view, error_code &) { return true; }
    bool on_uint64(std::uint64_t, json::string_view, error_code &) { return true; }
    bool on_double(double, json::string_view, error_code &) { return true; }
    bool on_bool(bool, error_code &) { return true; }
    bool on_null(error_code &) { return true; }
    bool on_comment_part(json::string_view, error_code &) { return true; }
    bool on_comment(json::string_view, error_code &) { return true; }
};
// NOLINTEND(readability-identifier-naming)

json::parse_options jsonOptions()
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    return options;
}

} // namespace

/// Encodes requests and decodes answers. Its buffers are reused from one exchange to the next.
class SearcherConnection::Codec
{
public:
    enum class State : std::uint8_t { NeedMore, Done, Malformed };

    Codec(const std::string &address, OpenAnswers &openAnswers)
        : m_openAnswers(openAnswers)
        , m_host(" HTTP/1.1\r\nHost: " + address + "\r\n")
        , m_buffer(ReadBufferBytes)
        , m_json(jsonOptions())
    {
    }

    void encode(const UpstreamMessage &message)
    {
        m_call = message.call;
        m_id = message.id;
        m_shard = message.shard;
        m_head.clear();
        switch (message.call) {
        case UpstreamCall::Search:
            m_head += "POST /search";
            break;
        case UpstreamCall::Book:
            m_head += "POST /book";
            break;
        case UpstreamCall::Cancel:
            m_head += "DELETE /requests/";
            appendNumber(m_head, message.id);
            break;
        case UpstreamCall::Info:
            m_head += "GET /info";
            break;
        }
        m_head += m_host;
        if (isSubRequest()) {
            m_head += "Content-Type: application/json\r\nRequest-Id: ";
            appendNumber(m_head, message.id);
            m_head += "\r\nShard: ";
            appendNumber(m_head, message.shard);
            m_head += "\r\nIndex-Version: ";
            appendNumber(m_head, message.indexVersion);
            m_head += "\r\nDeadline-Ms: ";
            appendNumber(m_head,
                         std::chrono::floor<std::chrono::milliseconds>(message.remaining).count());
            m_head += "\r\nContent-Length: ";
            appendNumber(m_head, message.body ? message.body->size() : 0);
            m_head += "\r\n";
        }
        m_head += "\r\n";
    }
    /// Returns the encoded request without its body.
    const std::string &head() const { return m_head; }

    /// Resets the decoder for the answer to the encoded request.
    void expectAnswer()
    {
        m_answer = UpstreamAnswer();
        m_parser.emplace(m_answer, m_openAnswers);
    }
    /// Drops an answer in progress.
    void stop()
    {
        m_parser.reset();
        // Unlike an assignment, a move releases the memory of the body.
        takeAnswer();
    }
    bool isExpectingAnswer() const { return m_parser.has_value(); }

    /// Returns the free part of the receive buffer, which grows if it is full.
    asio::mutable_buffer freeSpace()
    {
        if (m_filled == m_buffer.size() && m_buffer.size() < MaxReadBufferBytes)
            m_buffer.resize(m_buffer.size() * 2);
        return {m_buffer.data() + m_filled, m_buffer.size() - m_filled};
    }

    /// Parses @p size bytes that were received into freeSpace().
    /// @return State::Malformed if they violate the protocol or no exchange is in progress
    State consume(std::size_t size)
    {
        m_filled += size;
        if (!m_parser)
            return m_filled == 0 ? State::NeedMore : State::Malformed;
        std::size_t used = 0;
        error_code error;
        while (used < m_filled && !m_parser->is_done()) {
            used += m_parser->put(asio::buffer(m_buffer.data() + used, m_filled - used), error);
            if (error)
                break;
        }
        m_filled -= used;
        std::memmove(m_buffer.data(), m_buffer.data() + used, m_filled);
        if (error && error != http::error::need_more)
            return State::Malformed;
        if (m_filled == MaxReadBufferBytes)
            return State::Malformed;
        return finishIfDone();
    }

    /// Handles the close of the connection by the searcher, which ends a body without a length.
    /// @return State::NeedMore if the answer is incomplete or no exchange is in progress
    State consumeEof()
    {
        if (!m_parser || !m_parser->got_some())
            return State::NeedMore;
        error_code error;
        m_parser->put_eof(error);
        m_isLast = true;
        return error ? State::NeedMore : finishIfDone();
    }

    UpstreamAnswer takeAnswer() { return std::move(m_answer); }
    /// True if no further exchange can follow, because the searcher announced or performed the
    /// close of the connection, or sent bytes after the answer.
    bool isLast() const { return m_isLast || m_filled > 0; }

private:
    bool isSubRequest() const
    {
        return m_call == UpstreamCall::Search || m_call == UpstreamCall::Book;
    }

    State finishIfDone()
    {
        if (!m_parser->is_done())
            return State::NeedMore;
        m_isLast = m_isLast || !m_parser->keep_alive();
        m_parser.reset();
        return isValid() ? State::Done : State::Malformed;
    }

    bool isValid()
    {
        if (!isSubRequest())
            return true;
        if (m_answer.requestId != m_id || m_answer.shard.value_or(m_shard) != m_shard)
            return false;
        return m_call != UpstreamCall::Search || m_answer.status != 200 || isJson(m_answer.body);
    }

    bool isJson(const std::string &text)
    {
        error_code error;
        m_json.reset();
        const std::size_t used = m_json.write_some(false, text.data(), text.size(), error);
        return !error && used == text.size() && m_json.done();
    }

    OpenAnswers &m_openAnswers;
    const std::string m_host;
    std::string m_head;
    UpstreamCall m_call = UpstreamCall::Info;
    SubRequestId m_id = 0;
    std::uint32_t m_shard = 0;
    std::vector<char> m_buffer;
    std::size_t m_filled = 0;
    UpstreamAnswer m_answer;
    std::optional<SearcherAnswerParser> m_parser;
    json::basic_parser<JsonEvents> m_json;
    bool m_isLast = false;
};

SearcherConnection::SearcherConnection(asio::io_context &context, const std::string &address,
                                       OpenAnswers &openAnswers,
                                       SearcherConnectionListener &listener)
    : m_socket(context.get_executor())
    , m_listener(&listener)
    , m_codec(std::make_unique<Codec>(address, openAnswers))
{
}

SearcherConnection::~SearcherConnection() = default;

void SearcherConnection::open(const asio::ip::tcp::endpoint &endpoint)
{
    m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
        if (!self->m_listener)
            return;
        error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        error_code failed = error;
        if (!failed)
            self->m_socket.non_blocking(true, failed);
        if (failed) {
            SearcherConnectionListener *listener = self->m_listener;
            self->close();
            listener->onOpenFailed(*self, failed == asio::error::connection_refused);
            return;
        }
        self->read();
        self->m_listener->onOpen(*self);
    });
}

bool SearcherConnection::start(const UpstreamMessage &message)
{
    m_codec->encode(message);
    m_body = message.body;
    const std::array<asio::const_buffer, 2> parts{
            asio::buffer(m_codec->head()),
            m_body ? asio::buffer(*m_body) : asio::const_buffer(),
    };
    // A single non-blocking write shows reliably whether any byte was accepted.
    error_code error;
    const std::size_t written = m_socket.write_some(parts, error);
    if (error || written == 0) {
        close();
        return false;
    }
    m_codec->expectAnswer();
    if (written < asio::buffer_size(parts))
        write(written);
    return true;
}

void SearcherConnection::write(std::size_t offset)
{
    const std::string &head = m_codec->head();
    const std::size_t fromHead = std::min(offset, head.size());
    const std::array<asio::const_buffer, 2> rest{
            asio::buffer(head) + fromHead,
            m_body ? asio::buffer(*m_body) + (offset - fromHead) : asio::const_buffer(),
    };
    m_isWriting = true;
    asio::async_write(
            m_socket, rest,
            [self = shared_from_this(), body = m_body](const error_code &error, std::size_t) {
                self->m_isWriting = false;
                if (error && self->m_listener)
                    self->reportLoss(ConnectionLoss::Reset);
            });
}

void SearcherConnection::close()
{
    m_listener = nullptr;
    m_codec->stop();
    error_code ignored;
    m_socket.close(ignored);
}

void SearcherConnection::read()
{
    m_socket.async_read_some(
            m_codec->freeSpace(),
            [self = shared_from_this()](const error_code &error, std::size_t size) {
                if (self->m_listener)
                    self->onRead(error, size);
            });
}

void SearcherConnection::onRead(const error_code &error, std::size_t size)
{
    Codec::State state = Codec::State::NeedMore;
    if (!error)
        state = m_codec->consume(size);
    else if (error == asio::error::eof)
        state = m_codec->consumeEof();

    if (state == Codec::State::Malformed) {
        reportLoss(ConnectionLoss::Malformed);
        return;
    }
    if (state == Codec::State::Done) {
        SearcherConnectionListener *listener = m_listener;
        // If the answer arrived before the request was completely written, the searcher may leave
        // the rest of the request unread, so the connection cannot be reused.
        const bool isLast = m_codec->isLast() || m_isWriting;
        UpstreamAnswer answer = m_codec->takeAnswer();
        if (isLast)
            close();
        try {
            listener->onAnswer(*this, answer, isLast);
        } catch (...) {
            if (m_listener)
                read();
            throw;
        }
        if (!m_listener)
            return;
    } else if (error) {
        reportLoss(error == asio::error::eof ? ConnectionLoss::Closed : ConnectionLoss::Reset);
        return;
    }
    read();
}

void SearcherConnection::reportLoss(ConnectionLoss loss)
{
    SearcherConnectionListener *listener = m_listener;
    close();
    listener->onLost(*this, loss);
}

} // namespace geraniumcart
