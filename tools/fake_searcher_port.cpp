#include "fake_searcher_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <deque>
#include <optional>
#include <vector>

namespace geraniumcart::tools {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// Maximum number of requests of one connection that are in progress. Further requests are not read
/// until one of them is answered.
constexpr std::size_t MaxPipelinedRequests = 32;
constexpr std::uint64_t MaxRequestBytes = 1024 * 1024;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// @return std::nullopt if the text is anything but a number
template <typename T>
std::optional<T> parseNumber(beast::string_view text)
{
    T value{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// @return the booking key in a JSON body, or an empty string
std::string parseBookingKey(const std::string &body)
{
    boost::system::error_code code;
    const boost::json::value value = boost::json::parse(body, code);
    if (code || !value.is_object())
        return {};
    const boost::json::value *key = value.get_object().if_contains("bookingKey");
    return key && key->is_string() ? std::string(key->get_string()) : std::string();
}

/// Formats the answer to a GET of `/info`.
std::string formatInfo(const SearcherModel &model, const SearcherReport &report)
{
    return boost::json::serialize(boost::json::object{
            {"service", model.config().service},
            {"shard", report.shard},
            {"zone", model.config().zone},
            {"backEndVersion", report.backEndVersion},
            {"bootId", std::to_string(report.bootId)},
            {"oldestIndexVersion", report.served.oldest},
            {"newestIndexVersion", report.served.newest},
            {"inFlight", report.inFlight},
            {"slots", report.slots},
            {"draining", report.isDraining},
    });
}

/// Makes the body of the answer to a request that succeeded.
std::string makeResultBody(RequestKind kind, const SearcherAnswer &answer, std::uint32_t shard)
{
    const std::string number = std::to_string(shard);
    if (kind == RequestKind::Book)
        return R"({"booked":true,"shard":)" + number + R"(,"requestId":")" + answer.requestId +
               "\"}";
    return R"([{"id":")" + number + R"(-1","score":0.9},{"id":")" + number + R"(-2","score":0.4}])";
}

} // namespace

/// One connection. Requests may be pipelined; answers are sent in the order of the requests.
class FakeSearcherPort::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(FakeSearcherPort &port, Socket socket)
        : m_port(&port)
        , m_socket(std::move(socket))
    {
    }

    /// Starts to read when the connect cost has passed.
    void start(Duration connectCost)
    {
        if (connectCost <= Duration::zero()) {
            read();
            return;
        }
        // A real searcher needs this time to open a connection before it reads from it.
        m_port->m_worker.timers.schedule(connectCost, [self = weak_from_this()] {
            if (const auto session = self.lock())
                session->read();
        });
    }

    /// From now on, requests are ignored and answers are not sent.
    void silence() { m_isSilent = true; }

    /// Closes the connection and abandons its requests.
    void close()
    {
        if (!m_port)
            return;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        for (const auto &exchange : m_exchanges)
            if (exchange->callNumber != 0)
                m_port->m_model.abandon(exchange->callNumber);
        m_exchanges.clear();
        FakeSearcherPort *port = std::exchange(m_port, nullptr);
        port->m_sessions.erase(shared_from_this());
    }

private:
    /// A request and its answer.
    struct Exchange
    {
        RequestKind kind = RequestKind::Search;
        /// 0 if the model does not process the request or has ended it.
        SearcherModel::CallNumber callNumber = 0;
        Response response;
        /// The answer can be sent once all earlier answers are sent.
        bool isReady = false;
        bool isSentTwice = false;
    };

    void read();
    void onRequest();
    /// Passes a search or a booking to the model.
    void onCall(RequestKind kind, const Request &request);
    void onAnswer(const std::shared_ptr<Exchange> &exchange, const SearcherAnswer &answer);
    /// Completes the answer and sends it once all earlier answers are sent.
    void finish(const std::shared_ptr<Exchange> &exchange, http::status status, std::string body);
    /// Adds the header fields that carry the searcher's state.
    void addState(Response &response, const SearcherReport &report);
    /// Sends the oldest answer if it is ready.
    void write();

    /// Null once the session is closed.
    FakeSearcherPort *m_port;
    Socket m_socket;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isSilent = false;
};

void FakeSearcherPort::Session::read()
{
    if (!m_port || m_isReading || m_exchanges.size() >= MaxPipelinedRequests)
        return;
    m_isReading = true;
    m_parser.emplace();
    m_parser->body_limit(MaxRequestBytes);
    http::async_read(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                self->m_isReading = false;
                if (!self->m_port)
                    return;
                if (error) {
                    self->close();
                    return;
                }
                self->onRequest();
                self->read();
            });
}

void FakeSearcherPort::Session::onRequest()
{
    const Request &request = m_parser->get();
    SearcherModel &model = m_port->m_model;
    if (m_isSilent || model.faults().isSilent)
        return;
    const beast::string_view target = request.target();
    if (request.method() == http::verb::post && target == "/search") {
        onCall(RequestKind::Search, request);
        return;
    }
    if (request.method() == http::verb::post && target == "/book") {
        onCall(RequestKind::Book, request);
        return;
    }
    const auto exchange = std::make_shared<Exchange>();
    m_exchanges.push_back(exchange);
    constexpr beast::string_view RequestsPath = "/requests/";
    if (request.method() == http::verb::delete_ && target.starts_with(RequestsPath)) {
        const bool wasFound = model.cancel(std::string(target.substr(RequestsPath.size())));
        finish(exchange, wasFound ? http::status::ok : http::status::not_found, "{}");
    } else if (request.method() == http::verb::get && target == "/info") {
        finish(exchange, http::status::ok, formatInfo(model, model.report()));
    } else {
        finish(exchange, http::status::not_found, R"({"error":"no such route"})");
    }
}

void FakeSearcherPort::Session::onCall(RequestKind kind, const Request &request)
{
    SearcherCall call;
    call.kind = kind;
    call.id = std::string(request["Request-Id"]);
    call.indexVersion = parseNumber<std::uint64_t>(request["Index-Version"]).value_or(0);
    if (const auto remaining = parseNumber<std::int64_t>(request["Deadline-Ms"]))
        call.remaining = std::chrono::milliseconds(*remaining);
    if (kind == RequestKind::Book)
        call.bookingKey = parseBookingKey(request.body());

    const auto exchange = std::make_shared<Exchange>();
    exchange->kind = kind;
    m_exchanges.push_back(exchange);
    const auto number = m_port->m_model.call(
            std::move(call), [self = weak_from_this(), exchange](const SearcherAnswer &answer) {
                if (const auto session = self.lock())
                    session->onAnswer(exchange, answer);
            });
    if (!exchange->isReady)
        exchange->callNumber = number;
}

void FakeSearcherPort::Session::onAnswer(const std::shared_ptr<Exchange> &exchange,
                                         const SearcherAnswer &answer)
{
    if (!m_port || m_isSilent || m_port->m_model.faults().isSilent)
        return;
    exchange->callNumber = 0;
    if (answer.outcome == SearcherOutcome::Closed) {
        close();
        return;
    }
    SearcherModel &model = m_port->m_model;
    exchange->isSentTwice = answer.isSentTwice;
    Response &response = exchange->response;
    response.set("Request-Id", answer.requestId);
    const std::uint64_t version =
            answer.indexVersion != 0 ? answer.indexVersion : model.report().served.newest;
    response.set("Index-Version", std::to_string(version));
    response.set("Documents", std::to_string(model.documentsAt(version)));
    switch (answer.outcome) {
    case SearcherOutcome::Ran:
        finish(exchange, http::status::ok,
               makeResultBody(exchange->kind, answer, model.config().shard));
        break;
    case SearcherOutcome::NotRun:
        response.set("Not-Run", "1");
        [[fallthrough]];
    case SearcherOutcome::Cancelled:
        finish(exchange, http::status::service_unavailable,
               std::string(R"({"error":")") + answer.reason + "\"}");
        break;
    case SearcherOutcome::Failed:
    case SearcherOutcome::Closed:
        finish(exchange, http::status::internal_server_error,
               std::string(R"({"error":")") + answer.reason + "\"}");
        break;
    }
}

void FakeSearcherPort::Session::finish(const std::shared_ptr<Exchange> &exchange,
                                       http::status status, std::string body)
{
    Response &response = exchange->response;
    response.version(11);
    response.result(status);
    addState(response, m_port->m_model.report());
    m_port->m_model.recordStateSent();
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    exchange->isReady = true;
    write();
}

void FakeSearcherPort::Session::addState(Response &response, const SearcherReport &report)
{
    response.set("Shard", std::to_string(report.shard));
    response.set("Index-Versions",
                 std::to_string(report.served.oldest) + "-" + std::to_string(report.served.newest));
    response.set("Boot-Id", std::to_string(report.bootId));
    response.set("Back-End-Version", report.backEndVersion);
    response.set("Load", std::to_string(report.inFlight) + "/" + std::to_string(report.slots));
    if (report.isDraining)
        response.set("Draining", "1");
}

void FakeSearcherPort::Session::write()
{
    if (!m_port || m_isWriting || m_exchanges.empty() || !m_exchanges.front()->isReady)
        return;
    m_isWriting = true;
    const std::shared_ptr<Exchange> exchange = m_exchanges.front();
    http::async_write(m_socket, exchange->response,
                      [self = shared_from_this(), exchange](const boost::system::error_code &error,
                                                            std::size_t) {
                          self->m_isWriting = false;
                          if (!self->m_port)
                              return;
                          if (error) {
                              self->close();
                              return;
                          }
                          if (std::exchange(exchange->isSentTwice, false)) {
                              self->write();
                              return;
                          }
                          self->m_exchanges.pop_front();
                          self->write();
                          self->read();
                      });
}

FakeSearcherPort::FakeSearcherPort(Worker &worker, SearcherModelConfig config, std::uint64_t seed)
    : m_worker(worker)
    , m_model(std::move(config), worker.timers, seed)
    , m_acceptor(worker.context)
{
}

FakeSearcherPort::~FakeSearcherPort()
{
    close();
}

bool FakeSearcherPort::open(const std::string &ip, std::uint16_t port, std::string &reason)
{
    boost::system::error_code code;
    const auto address = asio::ip::make_address(ip, code);
    if (code) {
        reason = "not an IP address: " + ip;
        return false;
    }
    m_endpoint = {address, port};
    return listen(reason);
}

bool FakeSearcherPort::listen(std::string &reason)
{
    boost::system::error_code code;
    const auto open = [&] {
        if (m_acceptor.open(m_endpoint.protocol(), code))
            return;
        if (m_acceptor.set_option(Acceptor::reuse_address(true), code))
            return;
        if (m_acceptor.bind(m_endpoint, code))
            return;
        m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    };
    open();
    if (code) {
        reason = "cannot listen on " + address() + ": " + code.message();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        return false;
    }
    m_endpoint = m_acceptor.local_endpoint();
    accept();
    return true;
}

void FakeSearcherPort::accept()
{
    m_acceptor.async_accept(
            m_worker.context, [this, generation = m_listenerGeneration](
                                      const boost::system::error_code &error, Socket socket) {
                if (error == asio::error::operation_aborted || generation != m_listenerGeneration)
                    return;
                accept();
                if (!error)
                    onAccepted(std::move(socket));
            });
}

void FakeSearcherPort::onAccepted(Socket socket)
{
    SearcherCounters &counters = m_model.connectionCounters();
    ++counters.connectionsOpened;
    if (m_sessions.size() >= m_model.config().limits.connections) {
        ++counters.connectionsAboveLimit;
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    m_sessions.insert(session);
    session->start(m_model.config().limits.connectCost);
}

void FakeSearcherPort::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    ++m_listenerGeneration;
    m_model.stop();
    closeConnections();
}

void FakeSearcherPort::reopen()
{
    if (isOpen())
        return;
    m_model.start();
    std::string reason;
    listen(reason);
}

void FakeSearcherPort::closeConnections()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        session->close();
}

void FakeSearcherPort::silenceOpenConnections()
{
    for (const auto &session : m_sessions)
        session->silence();
}

std::string FakeSearcherPort::address() const
{
    return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
}

} // namespace geraniumcart::tools
