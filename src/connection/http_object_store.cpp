#include "connection/http_object_store_p.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <charconv>
#include <limits>
#include <utility>

namespace geraniumcart {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr int HttpVersion = 11;
constexpr const char *ObjectsTarget = "/v1/objects";
constexpr const char *VersionField = "Object-Version";

std::string encoded(std::string_view text)
{
    // A slash separates the parts of a key and is not escaped.
    return boost::urls::encode(text, boost::urls::unreserved_chars + '/');
}

std::string targetOf(const std::string &key)
{
    return std::string(ObjectsTarget) + '/' + encoded(key);
}

StoreError errorOf(HttpFailure failure, http::status status, bool isWrite)
{
    // An unanswered write may have taken effect. A read has no effect, so it only failed.
    const StoreError unanswered = isWrite ? StoreError::Unknown : StoreError::Unavailable;
    switch (failure) {
    case HttpFailure::NotSent:
        return StoreError::Unavailable;
    case HttpFailure::ResponseLost:
        return unanswered;
    case HttpFailure::None:
        break;
    }
    switch (status) {
    case http::status::ok:
    case http::status::created:
        return StoreError::None;
    case http::status::not_modified:
    case http::status::not_found:
        return StoreError::NotFound;
    case http::status::precondition_failed:
        return StoreError::Conflict;
    case http::status::service_unavailable:
    case http::status::too_many_requests:
        return StoreError::Unavailable;
    default:
        return http::to_status_class(status) == http::status_class::client_error
                       ? StoreError::Malformed
                       : unanswered;
    }
}

std::optional<std::uint64_t> versionOf(const HttpResponse &response)
{
    const auto text = response[VersionField];
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size() || version == 0)
        return std::nullopt;
    return version;
}

HttpClient::Callback objectCallback(std::string key, ObjectStore::GetCallback callback)
{
    return [key = std::move(key), callback = std::move(callback)](HttpFailure failure,
                                                                  HttpResponse response) {
        const StoreError error = errorOf(failure, response.result(), false);
        if (error != StoreError::None) {
            callback(std::nullopt, error);
            return;
        }
        const std::optional<std::uint64_t> version = versionOf(response);
        if (!version) {
            callback(std::nullopt, StoreError::Malformed);
            return;
        }
        callback(StoredObject{key, *version, std::move(response.body())}, StoreError::None);
    };
}

std::optional<std::vector<ObjectVersion>> parseList(const std::string &body)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    const json::object *root = error ? nullptr : document.if_object();
    const json::value *list = root ? root->if_contains("objects") : nullptr;
    if (!list || !list->is_array())
        return std::nullopt;
    std::vector<ObjectVersion> objects;
    for (const json::value &entry : list->get_array()) {
        const json::object *object = entry.if_object();
        const json::value *key = object ? object->if_contains("key") : nullptr;
        const json::value *version = object ? object->if_contains("version") : nullptr;
        if (!key || !key->is_string() || !version)
            return std::nullopt;
        const auto number = version->to_number<std::uint64_t>(error);
        if (error)
            return std::nullopt;
        objects.push_back({std::string(key->get_string()), number});
    }
    return objects;
}

} // namespace

HttpObjectStore::HttpObjectStore(boost::asio::io_context &context,
                                 const boost::asio::ip::tcp::endpoint &server, Duration callTimeout)
    : m_callTimeout(callTimeout)
    , m_callClient(context, server)
    , m_watchClient(context, server, {.connections = std::numeric_limits<std::size_t>::max()})
{
}

void HttpObjectStore::get(std::string key, GetCallback callback)
{
    HttpRequest request(http::verb::get, targetOf(key), HttpVersion);
    m_callClient.send(std::move(request), m_callTimeout,
                      objectCallback(std::move(key), std::move(callback)));
}

void HttpObjectStore::watch(std::string key, std::uint64_t after, Duration wait,
                            GetCallback callback)
{
    const auto waitMs = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    HttpRequest request(http::verb::get,
                        targetOf(key) + "?after=" + std::to_string(after) +
                                "&waitMs=" + std::to_string(waitMs),
                        HttpVersion);
    m_watchClient.send(std::move(request), wait + m_callTimeout,
                       objectCallback(std::move(key), std::move(callback)));
}

void HttpObjectStore::put(std::string key, std::uint64_t expected, std::string value,
                          PutCallback callback)
{
    HttpRequest request(http::verb::put, targetOf(key), HttpVersion, std::move(value));
    write(std::move(request), expected, std::move(callback));
}

void HttpObjectStore::remove(std::string key, std::uint64_t expected, PutCallback callback)
{
    HttpRequest request(http::verb::delete_, targetOf(key), HttpVersion);
    write(std::move(request), expected, std::move(callback));
}

void HttpObjectStore::write(HttpRequest request, std::uint64_t expected, PutCallback callback)
{
    request.set(http::field::if_match, std::to_string(expected));
    m_callClient.send(std::move(request), m_callTimeout,
                      [callback = std::move(callback)](HttpFailure failure, HttpResponse response) {
                          StoreError error = errorOf(failure, response.result(), true);
                          std::optional<std::uint64_t> version;
                          if (error == StoreError::None) {
                              version = versionOf(response);
                              // The write took effect, but the response lacks the new version.
                              if (!version)
                                  error = StoreError::Unknown;
                          }
                          callback(version, error);
                      });
}

void HttpObjectStore::list(std::string prefix, ListCallback callback)
{
    HttpRequest request(http::verb::get, std::string(ObjectsTarget) + "?prefix=" + encoded(prefix),
                        HttpVersion);
    m_callClient.send(std::move(request), m_callTimeout,
                      [callback = std::move(callback)](HttpFailure failure, HttpResponse response) {
                          StoreError error = errorOf(failure, response.result(), false);
                          std::optional<std::vector<ObjectVersion>> objects;
                          if (error == StoreError::None) {
                              objects = parseList(response.body());
                              if (!objects)
                                  error = StoreError::Malformed;
                          }
                          callback(std::move(objects), error);
                      });
}

} // namespace geraniumcart
