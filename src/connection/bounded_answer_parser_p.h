#pragma once

#include "connection/answer_status_p.h"
#include "connection/open_answers_p.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace geraniumcart {

/// Base of the parsers of searchers' answers. Bounds the header, the body and the memory that all
/// open answers of a worker take up, and ends an answer whose status is none. A derived parser
/// reads the header fields.
class BoundedAnswerParser : public boost::beast::http::basic_parser<false>
{
protected:
    using ErrorCode = boost::system::error_code;
    using Text = boost::beast::string_view;

    /// @param openAnswers must outlive the parser
    BoundedAnswerParser(OpenAnswers &openAnswers, std::uint32_t maxHeadBytes)
        : m_bytes(openAnswers)
    {
        header_limit(maxHeadBytes);
        body_limit(MaxAnswerBytes);
        eager(true);
    }

    /// Receives the status line.
    /// @return false if no answer of this protocol has the status
    virtual bool onStatus(unsigned status, Text reason) = 0;
    /// @return the text to which the bytes of the body are appended
    virtual std::string &body() = 0;

private:
    void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode &) final {}
    void on_response_impl(int status, Text reason, int, ErrorCode &error) final
    {
        const auto code = static_cast<unsigned>(status);
        if (statusKindOf(code) == StatusKind::None || !onStatus(code, reason))
            error = boost::beast::http::error::bad_status;
    }
    void on_header_impl(ErrorCode &) final {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &) final
    {
        // More is reserved only as bytes arrive, since the searcher may announce a length that it
        // does not send.
        if (length)
            body().reserve(std::min<std::uint64_t>(*length, SmallAnswerBytes));
    }
    std::size_t on_body_impl(Text bytes, ErrorCode &error) final { return append(bytes, error); }
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) final {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode &error) final
    {
        return append(bytes, error);
    }
    void on_finish_impl(ErrorCode &) final {}

    std::size_t append(Text bytes, ErrorCode &error)
    {
        if (!m_bytes.tryAdd(bytes.size())) {
            error = boost::beast::http::error::body_limit;
            return 0;
        }
        body().append(bytes.data(), bytes.size());
        return bytes.size();
    }

    OpenAnswerBytes m_bytes;
};

} // namespace geraniumcart
