#include "load_client.h"

#include "connection/endpoint_p.h"

#include "http_call.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace geraniumcart::tools {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// A request ends as ConnectFailed if it could not be sent after this number of new connections.
constexpr std::uint32_t MaxConnectAttempts = 4;
/// Time during which an address is not chosen after a failed connection attempt.
constexpr std::chrono::milliseconds AvoidanceTime{500};
/// Maximum body size of an answer; a request with a larger answer ends as CutOff.
constexpr std::uint64_t MaxAnswerBody = 64 * 1024 * 1024;

} // namespace

/// A request that is queued or sent, and the record of its result.
struct LoadClient::Request
{
    HttpRequest message;
    LoadRecord record;
    TimePoint intendedTime{};
    TimerId timer = 0;
    std::uint32_t attempts = 0;
    bool hasEnded = false;
    std::weak_ptr<Connection> connection;
};

/// A keep-alive connection that carries one request at a time.
class LoadClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(LoadClient &client, std::string address)
        : m_client(client)
        , m_socket(client.m_worker.context)
        , m_address(std::move(address))
    {
    }

    const std::string &address() const { return m_address; }
    const RequestPointer &request() const { return m_request; }
    RequestPointer releaseRequest() { return std::exchange(m_request, nullptr); }

    void connect(RequestPointer request);
    void send(RequestPointer request);
    /// @return whether an idle connection can carry a request: the server has neither closed it nor
    /// sent bytes that belong to no request
    bool isUsable();
    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

private:
    using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;

    void read();
    void onAnswer();
    void onCutOff(bool hasAnswerBytes);

    LoadClient &m_client;
    Socket m_socket;
    std::string m_address;
    RequestPointer m_request;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    bool m_hasCarriedRequest = false;
};

void LoadClient::Connection::connect(RequestPointer request)
{
    m_request = std::move(request);
    m_request->connection = weak_from_this();
    const auto endpoint = parseEndpoint(m_address);
    m_socket.async_connect(endpoint.value_or(tcp::endpoint()),
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (!error) {
                                   boost::system::error_code ignored;
                                   self->m_socket.set_option(tcp::no_delay(true), ignored);
                                   self->m_socket.non_blocking(true, ignored);
                               }
                               self->m_client.onConnected(self, !error);
                           });
}

void LoadClient::Connection::send(RequestPointer request)
{
    m_request = std::move(request);
    m_request->connection = weak_from_this();
    http::async_write(m_socket, m_request->message,
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t written) {
                          if (!error) {
                              self->read();
                              return;
                          }
                          if (written > 0 || self->m_request->hasEnded) {
                              self->onCutOff(false);
                              return;
                          }
                          const RequestPointer unsent = self->releaseRequest();
                          self->m_client.closeConnection(self);
                          self->m_client.onSendFailed(unsent);
                      });
}

void LoadClient::Connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(MaxAnswerBody);
    http::async_read(
            m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                if (error)
                    self->onCutOff(bytes > 0);
                else
                    self->onAnswer();
            });
}

void LoadClient::Connection::onAnswer()
{
    const RequestPointer request = releaseRequest();
    const HttpResponse response = m_parser->release();
    request->record.status = response.result_int();
    readAnswer(response.body(), request->record);
    m_hasCarriedRequest = true;
    m_client.endRequest(request);
    if (response.keep_alive())
        m_client.onIdle(shared_from_this());
    else
        m_client.closeConnection(shared_from_this());
}

void LoadClient::Connection::onCutOff(bool hasAnswerBytes)
{
    const RequestPointer request = releaseRequest();
    m_client.closeConnection(shared_from_this());
    if (request->hasEnded)
        return;
    request->record.outcome = LoadOutcome::CutOff;
    request->record.isIdleCloseRace = m_hasCarriedRequest && !hasAnswerBytes;
    m_client.endRequest(request);
}

bool LoadClient::Connection::isUsable()
{
    if (m_buffer.size() > 0)
        return false;
    char byte = 0;
    boost::system::error_code code;
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
    return code == asio::error::would_block;
}

LoadClient::LoadClient(Worker &worker, LoadClientConfig config)
    : m_worker(worker)
    , m_config(std::move(config))
    , m_arrivals(m_config.arrivals, m_config.seed)
    , m_random(m_config.seed)
{
}

LoadClient::~LoadClient() = default;

void LoadClient::setTargets(std::vector<LoadTarget> targets)
{
    m_targets = std::move(targets);
    std::vector<ConnectionPointer> unlisted;
    for (auto &[address, idle] : m_idle) {
        if (isListed(address))
            continue;
        unlisted.insert(unlisted.end(), idle.begin(), idle.end());
        idle.clear();
    }
    for (const ConnectionPointer &connection : unlisted)
        closeConnection(connection);
}

void LoadClient::start(TimePoint start, std::function<void()> done)
{
    m_start = start;
    m_done = std::move(done);
    m_nextRequest = m_arrivals.next();
    scheduleNext();
}

void LoadClient::scheduleNext()
{
    if (m_nextRequest.intendedStart >= m_config.duration) {
        m_arrivalsEnded = true;
        finishIfDone();
        return;
    }
    m_worker.timers.schedule(m_start + m_nextRequest.intendedStart - m_worker.timers.now(),
                             [this] { startDueRequests(); });
}

void LoadClient::startDueRequests()
{
    const TimePoint now = m_worker.timers.now();
    while (m_nextRequest.intendedStart < m_config.duration &&
           m_start + m_nextRequest.intendedStart <= now) {
        const PlannedRequest &planned = m_nextRequest;
        m_largestSendDelay = std::max(m_largestSendDelay, now - (m_start + planned.intendedStart));
        const auto request = std::make_shared<Request>();
        request->intendedTime = m_start + planned.intendedStart;
        request->record.intendedStart = planned.intendedStart;
        request->record.classIndex = planned.classIndex;
        request->record.isBooking = planned.isBooking;
        const std::string number = m_config.keyPrefix + std::to_string(planned.number);
        if (planned.isBooking) {
            request->record.bookingKey = number;
            request->message = makeRequest(http::verb::post, "/v1/book/" + m_config.service,
                                           R"({"bookingKey":")" + number + "\"}");
            request->message.set("Geraniumcart-Route-Key", number);
            if (m_config.sendsIdempotencyKey)
                request->message.set("Idempotency-Key", number);
        } else {
            request->message = makeRequest(http::verb::post, "/v1/search/" + m_config.service,
                                           R"({"query":")" + number + "\"}");
        }
        const auto deadlineMs =
                std::chrono::duration_cast<std::chrono::milliseconds>(m_config.deadline).count();
        request->message.set("Geraniumcart-Tenant",
                             "tenant-" + std::to_string(planned.tenantIndex));
        request->message.set("Geraniumcart-Class",
                             m_config.arrivals.classes[planned.classIndex].name);
        request->message.set("Geraniumcart-Deadline-Ms", std::to_string(deadlineMs));
        request->timer = m_worker.timers.schedule(request->intendedTime + m_config.deadline +
                                                          m_config.grace - now,
                                                  [this, request] { onTimeout(request); });
        ++m_pending;
        dispatch(request);
        m_nextRequest = m_arrivals.next();
    }
    scheduleNext();
}

void LoadClient::dispatch(const RequestPointer &request)
{
    const LoadTarget *target = chooseTarget();
    if (!target) {
        request->record.outcome = LoadOutcome::ConnectFailed;
        endRequest(request);
        return;
    }
    if (const ConnectionPointer idle = popIdle(target->address))
        idle->send(request);
    else if (m_connections.size() < m_config.connections)
        openConnection(target->address, request);
    else if (const ConnectionPointer other = popAnyIdle())
        other->send(request);
    else
        m_waitingRequests.push_back(request);
}

const LoadTarget *LoadClient::chooseTarget()
{
    const TimePoint now = m_worker.timers.now();
    std::uint64_t total = 0;
    const auto weightOf = [&](const LoadTarget &target) -> std::uint64_t {
        const auto avoided = m_avoidUntil.find(target.address);
        return avoided != m_avoidUntil.end() && avoided->second > now ? 0 : target.weight;
    };
    for (const LoadTarget &target : m_targets)
        total += weightOf(target);
    if (total == 0)
        return m_targets.empty() ? nullptr : &m_targets[m_random() % m_targets.size()];
    std::uint64_t draw = m_random() % total;
    for (const LoadTarget &target : m_targets) {
        const std::uint64_t weight = weightOf(target);
        if (draw < weight)
            return &target;
        draw -= weight;
    }
    return nullptr;
}

LoadClient::ConnectionPointer LoadClient::popIdle(const std::string &address)
{
    std::vector<ConnectionPointer> &idle = m_idle[address];
    while (!idle.empty()) {
        const ConnectionPointer connection = idle.back();
        idle.pop_back();
        if (connection->isUsable())
            return connection;
        closeConnection(connection);
    }
    return nullptr;
}

LoadClient::ConnectionPointer LoadClient::popAnyIdle()
{
    for (const LoadTarget &target : m_targets)
        if (const ConnectionPointer connection = popIdle(target.address))
            return connection;
    return nullptr;
}

void LoadClient::openConnection(const std::string &address, const RequestPointer &request)
{
    ++request->attempts;
    const auto connection = std::make_shared<Connection>(*this, address);
    m_connections.insert(connection);
    connection->connect(request);
}

void LoadClient::onConnected(const ConnectionPointer &connection, bool isConnected)
{
    const RequestPointer request = connection->releaseRequest();
    if (!isConnected) {
        m_avoidUntil[connection->address()] = m_worker.timers.now() + AvoidanceTime;
        closeConnection(connection);
        onSendFailed(request);
    } else if (request->hasEnded) {
        onIdle(connection);
    } else {
        connection->send(request);
    }
}

void LoadClient::onSendFailed(const RequestPointer &request)
{
    if (request->hasEnded)
        return;
    if (request->attempts < MaxConnectAttempts) {
        dispatch(request);
        return;
    }
    request->record.outcome = LoadOutcome::ConnectFailed;
    endRequest(request);
}

void LoadClient::onIdle(const ConnectionPointer &connection)
{
    if (!isListed(connection->address())) {
        closeConnection(connection);
        return;
    }
    if (!m_waitingRequests.empty() && connection->isUsable()) {
        const RequestPointer request = m_waitingRequests.front();
        m_waitingRequests.pop_front();
        connection->send(request);
        return;
    }
    m_idle[connection->address()].push_back(connection);
}

void LoadClient::closeConnection(const ConnectionPointer &connection)
{
    connection->close();
    m_connections.erase(connection);
    if (m_waitingRequests.empty() || m_connections.size() >= m_config.connections)
        return;
    const RequestPointer request = m_waitingRequests.front();
    m_waitingRequests.pop_front();
    dispatch(request);
}

void LoadClient::onTimeout(const RequestPointer &request)
{
    request->record.outcome = LoadOutcome::TimedOut;
    std::erase(m_waitingRequests, request);
    endRequest(request);
    if (const ConnectionPointer connection = request->connection.lock())
        if (connection->request() == request)
            connection->close();
}

void LoadClient::endRequest(const RequestPointer &request)
{
    if (request->hasEnded)
        return;
    request->hasEnded = true;
    m_worker.timers.cancel(request->timer);
    request->record.latency = m_worker.timers.now() - request->intendedTime;
    m_records.push_back(std::move(request->record));
    --m_pending;
    finishIfDone();
}

bool LoadClient::isListed(const std::string &address) const
{
    return std::ranges::find(m_targets, address, &LoadTarget::address) != m_targets.end();
}

void LoadClient::finishIfDone()
{
    if (m_arrivalsEnded && m_pending == 0 && m_done)
        std::exchange(m_done, nullptr)();
}

} // namespace geraniumcart::tools
