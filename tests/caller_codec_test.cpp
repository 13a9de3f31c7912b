#include <catch2/catch.hpp>

#include "connection/caller_codec_p.h"

#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <sstream>
#include <string>

using namespace geraniumcart;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr TimePoint Arrival{1h};

HttpRequest makeRequest(http::verb method, const std::string &target)
{
    HttpRequest request(method, target, 11);
    request.body() = "{\"night\":\"2026-12-05\"}";
    request.prepare_payload();
    return request;
}

Coverage makeCoverage(std::uint32_t answered)
{
    return {answered, 2, answered * 10U, 20};
}

std::string encode(CallerAnswer answer)
{
    ResponseFraming framing;
    framing.allowedMethod = "POST";
    std::ostringstream text;
    text << encodeCallerResponse({std::move(answer), false}, framing);
    return text.str();
}

std::string message(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a malformed header that is ignored, parsed as another value, or refused without
// its name and the accepted range in the reason.
TEST_CASE("a malformed header is refused")
{
    const auto [name, value, accepted] = GENERATE(table<std::string, std::string, std::string>({
            {"Geraniumcart-Deadline-Ms", "0", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "-1", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "+5", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "soon", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "10ms", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "1.5", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "1e3", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "60001", "1 to 60000"},
            {"Geraniumcart-Deadline-Ms", "99999999999999999999", "1 to 60000"},
            {"Geraniumcart-Min-Coverage", "-0.1", "0 to 1"},
            {"Geraniumcart-Min-Coverage", "1.0001", "0 to 1"},
            {"Geraniumcart-Min-Coverage", "95%", "0 to 1"},
            {"Geraniumcart-Min-Coverage", "nan", "0 to 1"},
            {"Geraniumcart-Min-Coverage", "inf", "0 to 1"},
            {"Geraniumcart-Min-Coverage", "", "0 to 1"},
            {"Geraniumcart-Tenant", "", "1 to 64"},
            {"Geraniumcart-Tenant", "aswan club", "1 to 64"},
            {"Geraniumcart-Tenant", "aswan/club", "1 to 64"},
            {"Geraniumcart-Tenant", "caf\xc3\xa9", "1 to 64"},
            {"Geraniumcart-Tenant", std::string(65, 'a'), "1 to 64"},
            {"Geraniumcart-Class", "urgent,ordinary", "1 to 64"},
            {"Idempotency-Key", "", "1 to 256"},
            {"Idempotency-Key", "two words", "1 to 256"},
            {"Idempotency-Key", std::string(257, 'k'), "1 to 256"},
            {"Geraniumcart-Route-Key", "bolt 7", "1 to 256"},
    }));
    INFO(name << ": " << value);

    HttpRequest request = makeRequest(http::verb::post, "/v1/book/corte");
    request.set(name, value);
    ResponseFraming framing;
    const auto decoded = decodeCallerRequest(request, Arrival, framing);
    const auto *refusal = std::get_if<Refusal>(&decoded);
    REQUIRE(refusal);
    CHECK(refusal->kind == RefusalKind::BadRequest);
    CHECK(refusal->isNotRun);
    CHECK(refusal->reason.find(name + ": '") == 0);
    CHECK(refusal->reason.find(accepted) != std::string::npos);
    CHECK(framing.keepAlive);
}

// Guards against a request with two contradicting values of a header, one of which is used
// silently.
TEST_CASE("a header that occurs twice is refused")
{
    const auto name = GENERATE(values<std::string>(
            {"Geraniumcart-Deadline-Ms", "Geraniumcart-Min-Coverage", "Geraniumcart-Tenant",
             "Geraniumcart-Class", "Idempotency-Key", "Geraniumcart-Route-Key"}));
    INFO(name);

    HttpRequest request = makeRequest(http::verb::post, "/v1/search/corte");
    request.insert(name, "1");
    request.insert(name, "1");
    ResponseFraming framing;
    const auto decoded = decodeCallerRequest(request, Arrival, framing);
    REQUIRE(std::holds_alternative<Refusal>(decoded));
    CHECK(std::get<Refusal>(decoded).reason == name + " is given more than once");
}

// Guards against a header value at the bounds of its range that is refused, and against a header
// that sets the wrong field.
TEST_CASE("headers are decoded into typed fields")
{
    using Check = bool (*)(const CallerRequest &);
    const auto [name, value, isDecoded] = GENERATE(table<std::string, std::string, Check>({
            {"Geraniumcart-Deadline-Ms", "1",
             [](const CallerRequest &r) { return r.deadline == Arrival + 1ms; }},
            {"geraniumcart-deadline-ms", "60000",
             [](const CallerRequest &r) { return r.deadline == Arrival + 60s; }},
            {"X-Other", "1",
             [](const CallerRequest &r) { return r.deadline == Arrival + DefaultDeadline; }},
            {"Geraniumcart-Min-Coverage", "0.95",
             [](const CallerRequest &r) { return r.minCoverage == 0.95; }},
            {"Geraniumcart-Min-Coverage", "1",
             [](const CallerRequest &r) { return r.minCoverage == 1.0; }},
            {"X-Other", "1", [](const CallerRequest &r) { return r.minCoverage == 0.0; }},
            {"Geraniumcart-Tenant", "aswan-club",
             [](const CallerRequest &r) { return r.tenant == "aswan-club"; }},
            {"X-Other", "1",
             [](const CallerRequest
                        &r) { return r.tenant == "default" && r.className == "default"; }},
            {"Geraniumcart-Class", "urgent",
             [](const CallerRequest &r) { return r.className == "urgent"; }},
            {"Idempotency-Key", "\"8e03978e/1\"",
             [](const CallerRequest &r) { return r.idempotencyKey == "\"8e03978e/1\""; }},
            {"Geraniumcart-Route-Key", "bolt-7",
             [](const CallerRequest &r) { return r.routeKey == "bolt-7"; }},
    }));
    INFO(name << ": " << value);

    HttpRequest request = makeRequest(http::verb::post, "/v1/search/corte?trace=1");
    request.set(name, value);
    ResponseFraming framing;
    const auto decoded = decodeCallerRequest(request, Arrival, framing);
    const auto *result = std::get_if<CallerRequest>(&decoded);
    REQUIRE(result);
    CHECK(result->call == CallKind::Search);
    CHECK(result->service == "corte");
    CHECK(*result->body == "{\"night\":\"2026-12-05\"}");
    CHECK(isDecoded(*result));
}

// Guards against a path or method that selects the wrong call, such as a search that GET starts.
TEST_CASE("paths and methods select the call")
{
    struct Row
    {
        http::verb method;
        std::string target;
        std::variant<CallKind, RefusalKind> expected;
    };
    const Row row = GENERATE(values<Row>({
            {http::verb::post, "/v1/search/corte", CallKind::Search},
            {http::verb::post, "/v1/book/corte", CallKind::Book},
            {http::verb::get, "/v1/entries", CallKind::Entries},
            {http::verb::get, "/v1/status", CallKind::Status},
            {http::verb::get, "/v1/limits?x=1", CallKind::Limits},
            {http::verb::get, "/healthz", CallKind::Health},
            {http::verb::get, "/readyz", CallKind::Ready},
            {http::verb::get, "/metrics", CallKind::Metrics},
            {http::verb::get, "/v1/search/corte", RefusalKind::MethodNotAllowed},
            {http::verb::delete_, "/v1/book/corte", RefusalKind::MethodNotAllowed},
            {http::verb::post, "/v1/entries", RefusalKind::MethodNotAllowed},
            {http::verb::head, "/healthz", RefusalKind::MethodNotAllowed},
            {http::verb::get, "/", RefusalKind::UnknownPath},
            {http::verb::get, "/v1/entries/", RefusalKind::UnknownPath},
            {http::verb::get, "/V1/entries", RefusalKind::UnknownPath},
            {http::verb::post, "/v1/search/", RefusalKind::UnknownPath},
            {http::verb::post, "/v1/search/corte/x", RefusalKind::UnknownPath},
            {http::verb::post, "/v1/search/%63orte", RefusalKind::UnknownPath},
            {http::verb::post, "/v1/search/" + std::string(65, 'a'), RefusalKind::UnknownPath},
    }));
    INFO(row.target);

    ResponseFraming framing;
    const auto decoded = decodeCallerRequest(makeRequest(row.method, row.target), Arrival, framing);
    if (const auto *request = std::get_if<CallerRequest>(&decoded)) {
        REQUIRE(std::holds_alternative<CallKind>(row.expected));
        CHECK(request->call == std::get<CallKind>(row.expected));
    } else {
        REQUIRE(std::holds_alternative<RefusalKind>(row.expected));
        CHECK(std::get<Refusal>(decoded).kind == std::get<RefusalKind>(row.expected));
    }
}

// Guards against any change of the responses that callers parse, and against invalid JSON where
// searchers' results are copied into a response.
TEST_CASE("responses are encoded byte for byte")
{
    const std::string complete =
            R"("coverage":{"shardsAnswered":2,"shardsTotal":2,"documentsSearched":20,)"
            R"("documentsTotal":20,"complete":true})";
    const std::string half =
            R"("coverage":{"shardsAnswered":1,"shardsTotal":2,"documentsSearched":10,)"
            R"("documentsTotal":20,"complete":false})";
    const auto [failure, answer,
                expected] = GENERATE_COPY(table<const char *, CallerAnswer, std::string>({
            {"arrays of results are nested or wrongly separated",
             SearchOutcome{SearchStatus::Answered,
                           7,
                           makeCoverage(2),
                           {"[1, 2]", " [\r\n{\"a\":[3]}\t]\n"},
                           {},
                           2,
                           0,
                           0},
             message("200 OK", "",
                     R"({"indexVersion":7,)" + complete +
                             R"(,"results":[1, 2,{"a":[3]}],"missing":[]})")},
            {"an empty array of results leaves an extra comma",
             SearchOutcome{SearchStatus::Answered,
                           7,
                           makeCoverage(2),
                           {"[]", "[ \"]\" ]", "[\n]"},
                           {},
                           3,
                           0,
                           0},
             message("200 OK", "",
                     R"({"indexVersion":7,)" + complete + R"(,"results":["]"],"missing":[]})")},
            {"a partial answer looks complete",
             SearchOutcome{SearchStatus::Answered,
                           18446744073709551615U,
                           makeCoverage(1),
                           {"[1]"},
                           {{1, MissingReason::TimedOut}},
                           2,
                           0,
                           0},
             message("200 OK", "",
                     R"({"indexVersion":18446744073709551615,)" + half +
                             R"(,"results":[1],"missing":[{"shard":1,"reason":"timedOut"}]})")},
            {"the result of a booking is changed",
             BookingResult{BookingOutcome::Done, " {\"bolt\": 7}\n", "", false},
             message("200 OK", "", R"({"outcome":"done","repeat":false,"result":{"bolt": 7}})")},
            {"a result that is not JSON makes the response invalid",
             BookingResult{BookingOutcome::Done, "{oops", "", false},
             message("200 OK", "", R"({"outcome":"done","repeat":false,"result":"{oops"})")},
            {"an empty result makes the response invalid",
             BookingResult{BookingOutcome::Done, "", "", true},
             message("200 OK", "", R"({"outcome":"done","repeat":true,"result":null})")},
            {"a booking that did not run looks unknown",
             BookingResult{BookingOutcome::NotRun, "", "store unavailable", false},
             message("503 Service Unavailable", "",
                     R"({"outcome":"notRun","repeat":false,"reason":"store unavailable"})")},
            {"a booking that may have run looks safe to repeat",
             BookingResult{BookingOutcome::Unknown, "", "connectionLost", true},
             message("502 Bad Gateway", "",
                     R"({"outcome":"unknown","repeat":true,"reason":"connectionLost"})")},
            {"a reason with special characters makes the response invalid",
             Refusal{RefusalKind::BadRequest, "a \"b\" \\ \n \x01", true, std::nullopt},
             message("400 Bad Request", "",
                     R"({"error":"badRequest","reason":"a \"b\" \\ \n \u0001",)"
                     R"("outcome":"notRun"})")},
            {"invalid UTF-8 makes the response invalid",
             Refusal{RefusalKind::BadRequest, "\xff", true, std::nullopt},
             message("400 Bad Request", "",
                     R"({"error":"badRequest","reason":"?","outcome":"notRun"})")},
            {"a search that ran is reported as not run",
             Refusal{RefusalKind::BelowMinCoverage, "low", false, makeCoverage(1)},
             message("503 Service Unavailable", "",
                     R"({"error":"belowMinCoverage","reason":"low",)" + half + "}")},
            {"the Allow header is missing",
             Refusal{RefusalKind::MethodNotAllowed, "m", true, std::nullopt},
             message("405 Method Not Allowed", "Allow: POST\r\n",
                     R"({"error":"methodNotAllowed","reason":"m","outcome":"notRun"})")},
            {"the list of entries is encoded differently",
             EntriesAnswer{{{"127.0.0.1:80", "cairo-a", 2}}, 2s},
             message("200 OK", "",
                     R"({"entries":[{"address":"127.0.0.1:80","zone":"cairo-a","weight":2}],)"
                     R"("validForMs":2000})")},
            {"the status is encoded differently",
             StatusAnswer{5,
                          true,
                          {{{"zone cairo-b out", 2, RuleState::InProgress, "draining",
                             WallTime(1234567ms)}},
                           {"store down"},
                           {{"entry-1", "cairo-a", MemberState::Alive}}}},
             message("200 OK", "",
                     R"({"rulesVersion":5,"ready":true,"rules":[{"rule":"zone cairo-b out",)"
                     R"("line":2,"state":"in progress","reason":"draining",)"
                     R"("sinceMs":1234567}],"warnings":["store down"],"members":[)"
                     R"({"name":"entry-1","zone":"cairo-a","state":"alive"}]})")},
            {"the limits are encoded differently",
             LimitsAnswer{{{"corte",
                            {{{"aswan-club", 50, 100, 12.5, 25}}, {{"urgent", 8, 3}}, 40, 17}}}},
             message("200 OK", "",
                     R"({"services":[{"service":"corte","concurrency":40,"running":17,)"
                     R"("tenants":[{"tenant":"aswan-club","ratePerSecond":50,"burst":100,)"
                     R"("localRatePerSecond":12.5,"localBurst":25}],)"
                     R"("classes":[{"class":"urgent","weight":8,"queued":3}]}]})")},
            {"metrics have the wrong content type", TextAnswer{"a 1\n", TextKind::Prometheus, true},
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
             "Content-Length: 4\r\n\r\na 1\n"},
            {"a daemon that is not ready looks ready",
             TextAnswer{"not ready\n", TextKind::Plain, false},
             "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n"
             "Content-Length: 10\r\n\r\nnot ready\n"},
    }));
    INFO(failure);

    const std::string encoded = encode(answer);
    CHECK(encoded == expected);
    if (encoded.find("application/json") != std::string::npos) {
        boost::system::error_code error;
        boost::json::parse(encoded.substr(encoded.find("\r\n\r\n") + 4), error);
        CHECK_FALSE(error);
    }
}

// Guards against a refusal whose status makes callers react wrongly, for example retry a request
// that is invalid.
TEST_CASE("each kind of refusal has its HTTP status")
{
    const auto [kind, status] = GENERATE(table<RefusalKind, unsigned>({
            {RefusalKind::BadRequest, 400U},
            {RefusalKind::UnknownPath, 404U},
            {RefusalKind::UnknownService, 404U},
            {RefusalKind::MethodNotAllowed, 405U},
            {RefusalKind::RequestTimeout, 408U},
            {RefusalKind::BodyTooLarge, 413U},
            {RefusalKind::RateLimited, 429U},
            {RefusalKind::HeaderTooLarge, 431U},
            {RefusalKind::Overloaded, 503U},
            {RefusalKind::NotAccepting, 503U},
            {RefusalKind::NotReady, 503U},
            {RefusalKind::BelowMinCoverage, 503U},
            {RefusalKind::DeadlinePassed, 504U},
    }));
    INFO(toString(kind));

    const CallerResponse response{Refusal{kind, "", true, std::nullopt}, false};
    const auto keepAlive = GENERATE(true, false);
    ResponseFraming framing;
    framing.keepAlive = keepAlive;
    const HttpResponse message = encodeCallerResponse(response, framing);
    CHECK(message.result_int() == status);
    CHECK(message.keep_alive() == keepAlive);
}
