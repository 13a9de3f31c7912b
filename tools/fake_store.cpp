#include "fake_store.h"
#include "fake_store_codec.h"

#include "connection/http_client_p.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace geraniumcart {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using Tcp = asio::ip::tcp;

namespace {

http::status statusOf(StoreError error)
{
    switch (error) {
    case StoreError::None:
        return http::status::ok;
    case StoreError::NotFound:
        return http::status::not_found;
    case StoreError::Conflict:
        return http::status::precondition_failed;
    default:
        return http::status::internal_server_error;
    }
}

} // namespace

/// Objects, faults and counters. Sessions share it with the store, because their pending operations
/// may complete after the store was destroyed.
struct FakeStore::State
{
    explicit State(asio::io_context &ioContext)
        : context(ioContext)
    {
    }

    asio::io_context &context;
    MemoryObjects objects;
    FakeStoreFaults faults;
    StoreCalls calls;
    std::uint64_t connections = 0;
    bool isClosed = false;
    std::set<Session *> sessions;
};

/// One connection. Its pending operation keeps it alive.
class FakeStore::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<State> state, Tcp::socket socket)
        : m_state(std::move(state))
        , m_stream(std::move(socket))
        , m_timer(m_state->context)
    {
        m_state->sessions.insert(this);
        beast::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    }

    ~Session()
    {
        unregisterWatcher();
        m_state->sessions.erase(this);
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(MaxObjectBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (error == http::error::body_limit)
                                 self->refuseBody();
                             else if (!error)
                                 self->onRequest();
                         });
    }

    /// Closes the connection without an answer.
    void close()
    {
        m_isClosed = true;
        m_timer.cancel();
        unregisterWatcher();
        m_stream.close();
    }

    bool isControl() const { return m_call.kind == ObjectCall::Kind::Control; }
    /// @return true while the request gets no answer because of an outage
    bool isStalled() const { return m_isStalled; }

private:
    using Kind = ObjectCall::Kind;

    void refuseBody()
    {
        m_call = {};
        m_request = {};
        m_request.keep_alive(false);
        answer(makeResponse(http::status::payload_too_large));
    }

    void onRequest()
    {
        m_request = m_parser->release();
        m_call = parseCall(m_request);
        if (isControl()) {
            answerControl();
            return;
        }
        if (m_call.kind == Kind::Malformed) {
            answer(makeResponse(http::status::bad_request));
            return;
        }
        if (m_call.isWrite())
            ++m_state->calls.writes;
        else if (m_call.kind == Kind::Watch)
            ++m_state->calls.watches;
        else
            ++m_state->calls.reads;

        if (m_state->faults.delay <= Duration::zero()) {
            handle();
            return;
        }
        m_timer.expires_after(m_state->faults.delay);
        m_timer.async_wait([self = shared_from_this()](beast::error_code) {
            if (!self->m_isClosed)
                self->handle();
        });
    }

    /// Leaves the request without an answer until the caller closes the connection or the outage
    /// ends.
    void stall()
    {
        m_isStalled = true;
        m_stream.socket().async_wait(
                Tcp::socket::wait_read,
                [self = shared_from_this()](beast::error_code) { self->close(); });
    }

    /// During an outage, closes the connection or stalls the request.
    /// @return true if there is an outage, so that the request must not be answered
    bool applyOutage()
    {
        if (!m_state->faults.outage)
            return false;
        if (m_state->faults.refuse)
            close();
        else
            stall();
        return true;
    }

    void handle()
    {
        if (applyOutage())
            return;
        if (m_state->faults.unavailable) {
            answer(makeResponse(http::status::service_unavailable));
            return;
        }
        switch (m_call.kind) {
        case Kind::Get:
            answerObject(m_state->objects.find(m_call.key));
            break;
        case Kind::Watch:
            watch();
            break;
        case Kind::List:
            answerList();
            break;
        default:
            write();
            break;
        }
    }

    void write()
    {
        FakeStoreFaults &faults = m_state->faults;
        if (faults.loseRequests > 0) {
            --faults.loseRequests;
            close();
            return;
        }
        MemoryObjects &objects = m_state->objects;
        StoreError error = StoreError::None;
        std::optional<std::uint64_t> version;
        if (m_call.kind == Kind::Remove)
            version = objects.remove(m_call.key, *m_call.expected, error);
        else if (m_call.expected)
            version = objects.put(m_call.key, *m_call.expected, std::move(m_request.body()), error);
        else
            version = objects.write(m_call.key, std::move(m_request.body()));
        if (faults.loseAnswers > 0) {
            --faults.loseAnswers;
            close();
            return;
        }
        HttpResponse response = makeResponse(statusOf(error));
        if (version)
            response.set("Object-Version", std::to_string(*version));
        else if (const auto current = objects.find(m_call.key))
            response.set("Object-Version", std::to_string(current->version));
        answer(std::move(response));
    }

    void watch()
    {
        auto object = m_state->objects.find(m_call.key);
        if (object && object->version > m_call.after) {
            answerObject(std::move(object));
            return;
        }
        m_watcher = m_state->objects.addWatcher(m_call.key, m_call.after,
                                                [this](const StoredObject &) { m_timer.cancel(); });
        m_timer.expires_after(m_call.wait);
        m_timer.async_wait([self = shared_from_this()](beast::error_code) { self->endWatch(); });
    }

    void endWatch()
    {
        if (m_isClosed)
            return;
        unregisterWatcher();
        if (applyOutage())
            return;
        auto object = m_state->objects.find(m_call.key);
        if (object && object->version <= m_call.after)
            answer(makeResponse(http::status::not_modified));
        else
            answerObject(std::move(object));
    }

    void unregisterWatcher()
    {
        if (m_watcher)
            m_state->objects.removeWatcher(*m_watcher);
        m_watcher.reset();
    }

    void answerObject(std::optional<StoredObject> object)
    {
        if (!object) {
            answer(makeResponse(http::status::not_found));
            return;
        }
        HttpResponse response = makeResponse(http::status::ok);
        response.set("Object-Version", std::to_string(object->version));
        response.body() = std::move(object->value);
        answer(std::move(response));
    }

    void answerList()
    {
        json::array objects;
        for (const ObjectVersion &object : m_state->objects.list(m_call.key))
            objects.push_back({{"key", object.key}, {"version", object.version}});
        answerJson({{"objects", std::move(objects)}});
    }

    void answerControl()
    {
        if (m_request.method() == http::verb::post) {
            FakeStoreFaults faults = m_state->faults;
            if (!readFaults(m_request.body(), faults)) {
                answer(makeResponse(http::status::bad_request));
                return;
            }
            applyFaults(*m_state, faults);
        }
        const StoreCalls &calls = m_state->calls;
        answerJson({{"reads", calls.reads},
                    {"writes", calls.writes},
                    {"watches", calls.watches},
                    {"connections", m_state->connections}});
    }

    void answerJson(const json::object &document)
    {
        HttpResponse response = makeResponse(http::status::ok);
        response.set(http::field::content_type, "application/json");
        response.body() = json::serialize(document);
        answer(std::move(response));
    }

    HttpResponse makeResponse(http::status status) const
    {
        HttpResponse response(status, m_request.version() == 10 ? 10 : 11);
        response.keep_alive(m_request.keep_alive());
        return response;
    }

    void answer(HttpResponse response)
    {
        m_response = std::move(response);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              self->m_call = {};
                              if (!error && self->m_response.keep_alive())
                                  self->read();
                              else
                                  self->m_stream.close();
                          });
    }

    std::shared_ptr<State> m_state;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    HttpRequest m_request;
    HttpResponse m_response;
    ObjectCall m_call;
    asio::steady_timer m_timer;
    std::optional<MemoryObjects::WatcherId> m_watcher;
    bool m_isClosed = false;
    bool m_isStalled = false;

    friend class FakeStore;
    static void applyFaults(State &state, const FakeStoreFaults &faults);
};

void FakeStore::Session::applyFaults(State &state, const FakeStoreFaults &faults)
{
    state.faults = faults;
    std::vector<std::shared_ptr<Session>> affected;
    for (Session *session : state.sessions) {
        const bool isRefused = faults.outage && faults.refuse && !session->isControl();
        if (isRefused || (!faults.outage && session->isStalled()))
            affected.push_back(session->shared_from_this());
    }
    for (const auto &session : affected)
        session->close();
}

FakeStore::FakeStore(asio::io_context &context)
    : m_state(std::make_shared<State>(context))
    , m_acceptor(context)
{
}

FakeStore::~FakeStore()
{
    close();
}

bool FakeStore::open(const Tcp::endpoint &endpoint, std::string &reason)
{
    beast::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        reason = error.message();
        return false;
    }
    accept();
    return true;
}

Tcp::endpoint FakeStore::endpoint() const
{
    beast::error_code ignored;
    return m_acceptor.local_endpoint(ignored);
}

void FakeStore::accept()
{
    m_acceptor.async_accept([this, state = std::weak_ptr<State>(m_state)](beast::error_code error,
                                                                          Tcp::socket socket) {
        const std::shared_ptr<State> strongState = state.lock();
        // After close(), the store may have been destroyed while a session keeps the state alive.
        if (!strongState || strongState->isClosed)
            return;
        accept();
        if (error)
            return;
        ++strongState->connections;
        std::make_shared<Session>(strongState, std::move(socket))->read();
    });
}

void FakeStore::close()
{
    beast::error_code ignored;
    m_state->isClosed = true;
    m_acceptor.close(ignored);
    std::vector<std::shared_ptr<Session>> open;
    for (Session *session : m_state->sessions)
        open.push_back(session->shared_from_this());
    for (const auto &session : open)
        session->close();
}

MemoryObjects &FakeStore::objects()
{
    return m_state->objects;
}

void FakeStore::setFaults(const FakeStoreFaults &faults)
{
    Session::applyFaults(*m_state, faults);
}

const FakeStoreFaults &FakeStore::faults() const
{
    return m_state->faults;
}

const StoreCalls &FakeStore::calls() const
{
    return m_state->calls;
}

std::uint64_t FakeStore::connections() const
{
    return m_state->connections;
}

} // namespace geraniumcart
