#include "connection/answer_reader_p.h"

#include <catch2/catch.hpp>

using namespace geraniumcart;

namespace {

const UpstreamHeaderNames Names{"Call-Id",     "Time-Left-Ms", "Signature",  "Meant-For",
                                "Did-Not-Run", "Own-Load",     "Going-Away", "At-Most"};

} // namespace

// Guards against a searcher that closes its connection within the head of its answer, and a caller
// that gets a success with an empty or short body.
TEST_CASE("an answer that ends within its head is no answer, wherever it ends")
{
    const auto [failure, fields, body] = GENERATE(table<const char *, const char *, const char *>({
            {"an answer with a length", "Content-Length: 4\r\n", "body"},
            {"an answer without a length", "", ""},
            {"an answer in chunks", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"},
            {"an answer that closes the connection", "Connection: close\r\n", ""},
            {"an answer without a body", "Content-Length: 0\r\n", ""},
    }));
    INFO(failure);
    const std::string head =
            std::string("HTTP/1.1 200 OK\r\nCall-Id: r1\r\nSignature: s\r\n") + fields + "\r\n";
    OpenAnswers openAnswers;
    for (std::size_t end = 0; end < head.size(); ++end) {
        INFO("after " << end << " of " << head.size() << " bytes");
        AnswerReader reader(Names, openAnswers);
        reader.start("r1", false);
        CHECK(reader.feed(head.substr(0, end)) == AnswerReader::Progress::NeedMore);
        CHECK(reader.end() == AnswerReader::Progress::Malformed);
    }
    AnswerReader reader(Names, openAnswers);
    reader.start("r1", false);
    const AnswerReader::Progress progress = reader.feed(head + body);
    CHECK((progress == AnswerReader::Progress::Answer ||
           reader.end() == AnswerReader::Progress::Answer));
}
