#include "load_answer.h"

#include "connection/endpoint_p.h"

#include "http_call.h"

#include <boost/json.hpp>

namespace geraniumcart::tools {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds CallTimeout{2};
/// Large enough that most answers are parsed without a heap allocation.
constexpr std::size_t ParseBufferBytes = 32 * 1024;

const json::value *findField(const json::value &value, const char *name)
{
    const json::object *object = value.if_object();
    return object ? object->if_contains(name) : nullptr;
}

/// @return the value of the field, empty if it is absent or not a string
std::string stringField(const json::value &value, const char *name)
{
    const json::value *field = findField(value, name);
    return field && field->is_string() ? std::string(field->get_string()) : std::string();
}

std::optional<double> numberField(const json::value &value, const char *name)
{
    const json::value *field = findField(value, name);
    if (!field)
        return std::nullopt;
    boost::system::error_code code;
    const auto number = field->to_number<double>(code);
    return code ? std::nullopt : std::optional(number);
}

void readSearch(const json::value &value, LoadRecord &record)
{
    record.outcome = LoadOutcome::Malformed;
    const json::value *coverage = findField(value, "coverage");
    const json::value *complete = coverage ? findField(*coverage, "complete") : nullptr;
    if (!complete || !complete->is_bool())
        return;
    const auto searched = numberField(*coverage, "documentsSearched");
    const auto total = numberField(*coverage, "documentsTotal");
    const auto shards = numberField(*coverage, "shardsTotal");
    if (!searched || !total || !shards)
        return;
    record.coverage = *total > 0 ? *searched / *total : 0;
    record.shardsTotal = static_cast<std::uint32_t>(*shards);
    record.outcome = complete->get_bool() ? LoadOutcome::Complete : LoadOutcome::Partial;
}

void readBooking(const std::string &outcome, LoadRecord &record)
{
    if (outcome == "done" && record.status == 200)
        record.outcome = LoadOutcome::BookingDone;
    else if (outcome == "notRun" && record.status != 200)
        record.outcome = LoadOutcome::BookingNotRun;
    else if (outcome == "unknown" && record.status != 200)
        record.outcome = LoadOutcome::BookingUnknown;
    else
        record.outcome = LoadOutcome::Malformed;
}

class EntriesSource final : public TargetSource
{
public:
    explicit EntriesSource(std::vector<std::string> addresses)
        : m_configuredAddresses(std::move(addresses))
        , m_listedAddresses(m_configuredAddresses)
    {
    }

    std::optional<LoadTargets> fetch(std::string &reason) override
    {
        // The addresses of the last list, followed by those of the command line.
        std::vector<std::string> candidates = m_listedAddresses;
        candidates.insert(candidates.end(), m_configuredAddresses.begin(),
                          m_configuredAddresses.end());
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const std::string &address = candidates[(i + m_nextIndex) % candidates.size()];
            const auto response = httpCall(address, makeRequest(http::verb::get, "/v1/entries"),
                                           CallTimeout, reason);
            if (!response)
                continue;
            reason = address + ": expected status 200 with a list of entries";
            auto targets = parseEntries(response->body());
            if (response->result() != http::status::ok || !targets)
                continue;
            ++m_nextIndex;
            m_listedAddresses.clear();
            for (const LoadTarget &target : targets->targets)
                m_listedAddresses.push_back(target.address);
            return targets;
        }
        return std::nullopt;
    }

private:
    std::vector<std::string> m_configuredAddresses;
    std::vector<std::string> m_listedAddresses;
    std::size_t m_nextIndex = 0;
};

class FixedSource final : public TargetSource
{
public:
    explicit FixedSource(const std::vector<std::string> &addresses)
    {
        for (const std::string &address : addresses)
            m_targets.targets.push_back({address});
        m_targets.validFor = std::chrono::hours(24);
    }

    std::optional<LoadTargets> fetch(std::string &) override { return m_targets; }

private:
    LoadTargets m_targets;
};

/// Gets a JSON document from a control port.
/// @return std::nullopt with @p reason unless the status is 200 and the body is valid JSON
std::optional<json::value> fetchJson(const std::string &address, const std::string &target,
                                     std::string &reason)
{
    const auto response =
            httpCall(address, makeRequest(http::verb::get, target), CallTimeout * 5, reason);
    if (!response)
        return std::nullopt;
    boost::system::error_code code;
    json::value value = json::parse(response->body(), code);
    if (!code && response->result() == http::status::ok)
        return value;
    reason = address + ": expected status 200 with a JSON body";
    return std::nullopt;
}

} // namespace

void readAnswer(std::string_view body, LoadRecord &record)
{
    unsigned char buffer[ParseBufferBytes];
    json::monotonic_resource resource(buffer, sizeof buffer);
    boost::system::error_code code;
    const json::value value = json::parse({body.data(), body.size()}, code, &resource);
    record.outcome = LoadOutcome::Malformed;
    if (code)
        return;
    if (record.status != 200) {
        record.reason = stringField(value, "reason");
        if (record.reason.empty())
            record.reason = stringField(value, "error");
        record.outcome = LoadOutcome::Refused;
    }
    if (record.isBooking)
        readBooking(stringField(value, "outcome"), record);
    else if (record.status == 200)
        readSearch(value, record);
}

std::optional<LoadTargets> parseEntries(std::string_view body)
{
    boost::system::error_code code;
    const json::value value = json::parse({body.data(), body.size()}, code);
    const json::value *entries = code ? nullptr : findField(value, "entries");
    if (!entries || !entries->is_array())
        return std::nullopt;
    const double validForMs = numberField(value, "validForMs").value_or(0);
    if (validForMs <= 0)
        return std::nullopt;
    LoadTargets targets;
    targets.validFor = std::chrono::milliseconds(static_cast<std::int64_t>(validForMs));
    for (const json::value &entry : entries->get_array()) {
        LoadTarget target;
        target.address = stringField(entry, "address");
        target.weight = static_cast<std::uint32_t>(numberField(entry, "weight").value_or(1));
        if (parseEndpoint(target.address) && target.weight > 0)
            targets.targets.push_back(std::move(target));
    }
    if (targets.targets.empty())
        return std::nullopt;
    return targets;
}

std::unique_ptr<TargetSource> makeEntriesSource(std::vector<std::string> addresses)
{
    return std::make_unique<EntriesSource>(std::move(addresses));
}

std::unique_ptr<TargetSource> makeFixedSource(std::vector<std::string> addresses)
{
    return std::make_unique<FixedSource>(addresses);
}

std::optional<std::uint64_t> fetchSearchesStarted(const std::vector<std::string> &controls,
                                                  const std::string &service, std::string &reason)
{
    double started = 0;
    for (const std::string &control : controls) {
        const auto value = fetchJson(control, "/control", reason);
        if (!value)
            return std::nullopt;
        const json::value *services = findField(*value, "services");
        const json::value *counts = services ? findField(*services, service.c_str()) : nullptr;
        if (counts)
            started += numberField(*counts, "searchesStarted").value_or(0);
    }
    return static_cast<std::uint64_t>(started);
}

std::optional<std::unordered_map<std::string, std::uint32_t>>
fetchBookingRuns(const std::vector<std::string> &controls, std::string &reason)
{
    std::unordered_map<std::string, std::uint32_t> runs;
    for (const std::string &control : controls) {
        const auto value = fetchJson(control, "/control/bookings", reason);
        if (!value)
            return std::nullopt;
        const json::value *counts = findField(*value, "runs");
        if (!counts || !counts->is_object())
            continue;
        for (const auto &field : counts->get_object())
            runs[std::string(field.key())] += field.value().to_number<std::uint32_t>();
    }
    return runs;
}

} // namespace geraniumcart::tools
