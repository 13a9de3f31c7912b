#include "support/raw_server.h"

#include "connection/answer_reader_p.h"
#include "connection/answer_status_p.h"
#include "connection/http_client_p.h"
#include "connection/searcher_connection_p.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

using Progress = AnswerReader::Progress;

const UpstreamHeaderNames Names{"Call-Id",     "Time-Left-Ms", "Signature",  "Meant-For",
                                "Did-Not-Run", "Own-Load",     "Going-Away", "At-Most"};

constexpr auto TestTimeout = 3s;

/// Status texts of answers and what they say.
struct StatusText
{
    const char *text;
    StatusKind kind;
};
const std::vector<StatusText> StatusTexts{
        {"000", StatusKind::None},    {"001", StatusKind::None},  {"099", StatusKind::None},
        {"100", StatusKind::Interim}, {"101", StatusKind::None},  {"102", StatusKind::Interim},
        {"199", StatusKind::Interim}, {"200", StatusKind::Final}, {"404", StatusKind::Final},
        {"503", StatusKind::Final},   {"599", StatusKind::Final}, {"600", StatusKind::None},
        {"999", StatusKind::None},    {"20", StatusKind::None},   {"2000", StatusKind::None},
        {"-20", StatusKind::None},    {"+200", StatusKind::None}, {"2 0", StatusKind::None},
        {"0x2", StatusKind::None},    {"", StatusKind::None},
};

std::string headOf(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + " Text\r\nCall-Id: r1\r\nRequest-Id: 7\r\n" + fields + "\r\n";
}

/// Keeps how the exchange on a connection of the product's own protocol ends.
struct EndListener final : SearcherConnectionListener
{
    void onOpen(SearcherConnection &connection) override
    {
        UpstreamMessage message;
        message.call = UpstreamCall::Search;
        message.id = 7;
        CHECK(connection.start(message));
    }
    void onOpenFailed(SearcherConnection &, bool) override { FAIL("not connected"); }
    void onAnswer(SearcherConnection &, UpstreamAnswer &answer, bool) override
    {
        status = answer.status;
    }
    void onLost(SearcherConnection &, ConnectionLoss reason) override { loss = reason; }

    std::optional<std::uint16_t> status;
    std::optional<ConnectionLoss> loss;
};

} // namespace

// Guards against a searcher in trouble whose answer with a status such as 000 reaches the caller,
// is skipped until the time of the request has passed, or lets a later answer count as its own.
TEST_CASE("an answer whose status is none ends the exchange with its head")
{
    const StatusText status = GENERATE(from_range(StatusTexts));
    const auto [framing, fields, body] = GENERATE(table<const char *, const char *, const char *>({
            {"with a length", "Content-Length: 4\r\n", "{\"\"}"},
            {"in chunks", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"},
            {"without a body", "Content-Length: 0\r\n", ""},
            {"without a length", "", "body"},
    }));
    INFO(status.text << ", " << framing);
    OpenAnswers openAnswers;
    AnswerReader reader(Names, openAnswers);
    reader.start("r1", false);
    const Progress progress = reader.feed(headOf(status.text, fields));
    if (status.kind == StatusKind::None) {
        CHECK(progress == Progress::Malformed);
        CHECK_FALSE(reader.isReusable());
        // What follows belongs to no request.
        CHECK(reader.feed(headOf("200", "Content-Length: 0\r\n")) == Progress::Malformed);
        return;
    }
    if (status.kind == StatusKind::Interim) {
        CHECK(progress == Progress::NeedMore);
        REQUIRE(reader.feed(headOf("200", "Content-Length: 2\r\n") + "ok") == Progress::Answer);
        CHECK(reader.takeReply().body == "ok");
        return;
    }
    CHECK(progress == (*body ? Progress::NeedMore : Progress::Answer));
    CHECK((reader.feed(body) == Progress::Answer || reader.end() == Progress::Answer || !*body));
    CHECK(std::to_string(reader.takeReply().status) == status.text);
}

// Guards against the same answers of a searcher on the product's own protocol. It has no interim
// answers.
TEST_CASE("a sub-request fails with an answer whose status is none")
{
    const StatusText status = GENERATE(from_range(StatusTexts));
    INFO(status.text);
    boost::asio::io_context context;
    RawServer server(context, [&status](const std::string &) {
        return RawAnswer{headOf(status.text, "Content-Length: 2\r\n") + "{}"};
    });
    EndListener listener;
    OpenAnswers openAnswers;
    const auto connection =
            std::make_shared<SearcherConnection>(context, server.address(), openAnswers, listener);
    connection->open(server.endpoint());
    const auto end = std::chrono::steady_clock::now() + TestTimeout;
    while (!listener.status && !listener.loss && std::chrono::steady_clock::now() < end)
        context.run_one_for(10ms);
    CHECK(listener.status.has_value() == (status.kind == StatusKind::Final));
    CHECK((listener.loss == ConnectionLoss::Malformed) == (status.kind != StatusKind::Final));
    connection->close();
}

// Guards against the same answers of the store.
TEST_CASE("a call to the store fails with an answer whose status is none")
{
    const StatusText status = GENERATE(from_range(StatusTexts));
    INFO(status.text);
    boost::asio::io_context context;
    RawServer server(context, [&status](const std::string &) {
        return RawAnswer{headOf(status.text, "Content-Length: 2\r\n") + "{}"};
    });
    HttpClient client(context, server.endpoint());
    std::optional<HttpFailure> failure;
    const auto start = std::chrono::steady_clock::now();
    client.send(HttpRequest(boost::beast::http::verb::get, "/", 11), 1s,
                [&failure](HttpFailure result, const HttpResponse &) { failure = result; });
    while (!failure && std::chrono::steady_clock::now() - start < TestTimeout)
        context.run_one_for(10ms);
    REQUIRE(failure);
    CHECK((*failure == HttpFailure::None) == (status.kind == StatusKind::Final));
    CHECK(std::chrono::steady_clock::now() - start < 500ms);
}
