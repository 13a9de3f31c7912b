#pragma once

#include "raw_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace geraniumcart::test {

/// Fake of the platform's store: objects by kind with one revision counter, lists and watches.
/// It can refuse all calls, stop answering, or discard its history of changes. Runs on the test's
/// io_context.
class PlatformStore
{
public:
    enum class Mode {
        Serving,
        /// Answers every call with 503.
        Busy,
        /// Accepts calls but does not answer them.
        Silent
    };

    explicit PlatformStore(boost::asio::io_context &context)
        : m_server(context, [this](const std::string &head) { return answer(head); })
    {
    }

    std::string address() const { return m_server.address(); }
    void put(const std::string &kind, const std::string &name, boost::json::object spec)
    {
        m_objects[kind][name] = {++m_revision, false, std::move(spec), nullptr};
    }
    void remove(const std::string &kind, const std::string &name)
    {
        Object &object = m_objects[kind][name];
        object.isDeleted = true;
        object.revision = ++m_revision;
    }
    /// Watches from an older revision are answered with 410 from now on.
    void discardHistory() { m_firstRevision = ++m_revision; }
    /// @return the status last recorded for an object; null if none has been recorded
    boost::json::value status(const std::string &kind, const std::string &name)
    {
        return m_objects[kind][name].status;
    }
    int calls() const { return static_cast<int>(m_server.heads.size()); }

    Mode mode = Mode::Serving;

private:
    struct Object
    {
        std::uint64_t revision = 0;
        bool isDeleted = false;
        boost::json::object spec;
        boost::json::value status;
    };

    static std::string httpResponse(int status, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) +
               " Status\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    static std::string parameter(const std::string &head, const std::string &name)
    {
        const std::size_t at = head.find(name + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t start = at + name.size() + 1;
        return head.substr(start, head.find_first_of("& ", start) - start);
    }
    static boost::json::object encode(const std::string &name, const Object &object)
    {
        return {{"meta", {{"name", name}, {"revision", object.revision}}},
                {"spec", object.spec},
                {"status", object.status}};
    }

    RawAnswer answer(const std::string &head)
    {
        if (mode == Mode::Silent)
            return {""};
        if (mode == Mode::Busy)
            return {httpResponse(503, "{}")};
        if (head.starts_with("PUT "))
            return {recordStatus(head)};
        const std::size_t start = head.find("/objects/") + 9;
        const std::string kind = head.substr(start, head.find_first_of("? ", start) - start);
        const std::string watchRevision = parameter(head, "watch");
        boost::json::object body{{"current_rev", m_revision}};
        if (watchRevision.empty()) {
            boost::json::array items;
            for (const auto &[name, object] : m_objects[kind])
                if (!object.isDeleted)
                    items.push_back(encode(name, object));
            body["items"] = std::move(items);
            body["has_more"] = false;
            return {httpResponse(200, boost::json::serialize(body))};
        }
        const std::uint64_t revision = std::strtoull(watchRevision.c_str(), nullptr, 10);
        if (revision < m_firstRevision)
            return {httpResponse(410, "{}")};
        boost::json::array events;
        for (const auto &[name, object] : m_objects[kind])
            if (object.revision > revision)
                events.push_back({{"deleted", object.isDeleted}, {"object", encode(name, object)}});
        const bool hasChanges = !events.empty();
        body["events"] = std::move(events);
        const std::string response = httpResponse(200, boost::json::serialize(body));
        if (hasChanges)
            return {response};
        // Without changes the store answers after a delay, as if the wait had ended.
        return {"", RawAnswer::Then::Keep, response, std::chrono::milliseconds(100)};
    }

    /// Handles PUT /api/objects/KIND/NAME/status; fails with 409 unless the body contains the
    /// object's current revision.
    std::string recordStatus(const std::string &head)
    {
        const std::size_t start = head.find("/objects/") + 9;
        const std::size_t slash = head.find('/', start);
        const std::size_t end = head.find("/status ", slash);
        if (slash == std::string::npos || end == std::string::npos)
            return httpResponse(400, "{}");
        const std::string kind = head.substr(start, slash - start);
        const std::string name = head.substr(slash + 1, end - slash - 1);
        const boost::json::value body = boost::json::parse(head.substr(head.find("\r\n\r\n") + 4));
        Object &object = m_objects[kind][name];
        if (body.at("meta").at("revision").to_number<std::uint64_t>() != object.revision)
            return httpResponse(409, boost::json::serialize(encode(name, object)));
        object.status = body.at("status");
        object.revision = ++m_revision;
        return httpResponse(200, boost::json::serialize(encode(name, object)));
    }

    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::uint64_t m_revision = 10;
    std::uint64_t m_firstRevision = 0;
    RawServer m_server;
};

/// Fake searcher that uses the platform's headers. Runs on the test's io_context.
class PlatformSearcher
{
public:
    enum class Mode {
        Serving,
        /// Serves after 20 ms.
        Slow,
        /// Refuses each request with 503 and states that it was not executed.
        Full,
        /// Resets the connection after each request.
        ResetsConnection,
        /// Does not answer.
        Silent,
        /// Closes the connection before the end of the body.
        TruncatesAnswer,
        /// Answers that another instance runs at the address.
        OtherInstance,
        /// Answers with the status 000 and is done.
        InvalidStatus,
        /// Refuses each request with 503 and asks for no further one for two seconds.
        Pausing,
        /// Serves and announces in each answer that it is about to stop.
        Leaving
    };

    PlatformSearcher(boost::asio::io_context &context, std::string id, std::string body)
        : instanceId(std::move(id))
        , m_body(std::move(body))
        , m_server(context, [this](const std::string &head) { return answer(head); })
    {
    }

    /// @return the spec of its entry in the store
    boost::json::object entry(const std::string &service, const std::string &state = "ready",
                              const std::string &version = "v1") const
    {
        return {{"service", service},  {"address", m_server.address()},
                {"zone", "z"},         {"config_version", version},
                {"slots", 2},          {"state", state},
                {"warmup_left_ms", 0}, {"sequence_number", 1}};
    }
    /// Heads of the received requests, in order.
    const std::vector<std::string> &heads() const { return m_server.heads; }

    const std::string instanceId;
    Mode mode = Mode::Serving;

private:
    RawAnswer answer(const std::string &head) const
    {
        const std::string id = headerValue(head, "Request-Id");
        const std::string leaving = mode == Mode::Leaving ? "\r\nServer-Leaving: 1" : "";
        const std::string response =
                "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp-" + instanceId +
                leaving +
                "\r\nServer-Load: 1,0,2\r\nContent-Length: " + std::to_string(m_body.size()) +
                "\r\n\r\n" + (head.starts_with("HEAD ") ? std::string() : m_body);
        switch (mode) {
        case Mode::Serving:
        case Mode::Leaving:
            return {response};
        case Mode::Slow:
            return {"", RawAnswer::Then::Keep, response, std::chrono::milliseconds(20)};
        case Mode::Pausing:
            return {"HTTP/1.1 503 Pause\r\nNot-Executed: 1\r\nRetry-After: 2\r\n"
                    "Content-Length: 0\r\n\r\n"};
        case Mode::Full:
            return {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        case Mode::ResetsConnection:
            return {"", RawAnswer::Then::Reset};
        case Mode::Silent:
            return {""};
        case Mode::TruncatesAnswer:
            return {response.substr(0, response.size() - 3), RawAnswer::Then::Close};
        case Mode::InvalidStatus:
            return {"HTTP/1.1 000 Trouble" + response.substr(response.find("\r\n"))};
        case Mode::OtherInstance:
            return {"HTTP/1.1 421 Misdirected\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n"};
        }
        return {};
    }

    std::string m_body;
    RawServer m_server;
};

} // namespace geraniumcart::test
