#pragma once

#include "connection/bounded_answer_parser_p.h"
#include "connection/searcher_connection_p.h"

#include <string_view>

namespace geraniumcart {

/// Parser of an answer on the product's own protocol. It converts the header fields of the
/// searcher's interface as it parses them and skips all others, so that no field is stored as text.
class SearcherAnswerParser final : public BoundedAnswerParser
{
public:
    /// @param answer receives the answer; must outlive the parser
    SearcherAnswerParser(UpstreamAnswer &answer, OpenAnswers &openAnswers);

private:
    bool onStatus(unsigned status, Text reason) override;
    std::string &body() override { return m_answer.body; }
    void on_field_impl(boost::beast::http::field field, Text name, Text value,
                       ErrorCode &error) override;
    /// @return false if the value of a field of the interface is invalid
    bool readField(std::string_view name, std::string_view value);

    UpstreamAnswer &m_answer;
};

} // namespace geraniumcart
