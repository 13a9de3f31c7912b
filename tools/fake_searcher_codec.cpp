#include "fake_searcher.h"
#include "json_fields.h"

#include <boost/json.hpp>

#include <algorithm>

namespace geraniumcart::tools {

namespace json = boost::json;

namespace {

/// @return std::nullopt with @p reason on failure; otherwise @p reason is cleared
std::optional<json::value> parseJson(std::string_view text, std::string &reason)
{
    boost::system::error_code code;
    json::value value = json::parse({text.data(), text.size()}, code);
    reason.clear();
    if (!code)
        return value;
    reason = "not JSON: " + code.message();
    return std::nullopt;
}

/// Calls @p reader with the fields of each object in an array. No effect if the field is absent.
/// @param path path of the field, for the reason of a failure
template <typename Reader>
void readArray(JsonFields &fields, const char *name, const std::string &path, std::string &reason,
               const Reader &reader)
{
    const json::value *value = fields.find(name);
    if (!value)
        return;
    if (!value->is_array()) {
        fields.fail(name, "an array");
        return;
    }
    const json::array &array = value->get_array();
    for (std::size_t i = 0; i < array.size(); ++i)
        reader(JsonFields(array[i], path + "." + name + "[" + std::to_string(i) + "]", reason));
}

IndexVersionConfig readIndexVersion(JsonFields fields)
{
    IndexVersionConfig config;
    fields.read("version", config.version);
    fields.read("documentsPerShard", config.documentsPerShard);
    fields.read("shards", config.shards);
    fields.rejectUnknownFields();
    if (config.version == 0)
        fields.fail("version", "at least 1");
    return config;
}

void readServiceTime(JsonFields fields, ServiceTimeConfig &config)
{
    fields.read("medianMs", config.median);
    fields.read("sigma", config.sigma);
    fields.read("straggleProbability", config.straggleProbability);
    fields.read("straggleMs", config.straggle);
    fields.rejectUnknownFields();
    if (config.straggleProbability > 1)
        fields.fail("straggleProbability", "at most 1");
}

void readCold(JsonFields fields, SearcherLimits &limits, ColdOverloadConfig &overload)
{
    fields.read("requestsPerSecond", limits.coldRequestsPerSecond);
    fields.read("doublingMs", limits.coldDoubling);
    fields.read("warmUpMs", limits.warmUp);
    fields.read("overloadSlowFactor", overload.slowFactor);
    fields.read("overloadFailProbability", overload.failProbability);
    fields.read("arrivalJitterMs", overload.arrivalJitter);
    fields.read("noticeGraceMs", overload.noticeGrace);
    fields.rejectUnknownFields();
    if (limits.coldRequestsPerSecond <= 0)
        fields.fail("requestsPerSecond", "more than 0");
    if (limits.coldDoubling <= Duration::zero())
        fields.fail("doublingMs", "more than 0");
}

ServiceConfig readService(JsonFields fields, std::string &reason)
{
    ServiceConfig config;
    fields.read("name", config.name);
    fields.read("shards", config.shards);
    fields.read("replicas", config.replicas);
    fields.read("firstReplica", config.firstReplica);
    fields.read("searchersPerInstance", config.searchersPerInstance);
    fields.read("zones", config.zones);
    fields.read("backEndVersions", config.backEndVersions);
    fields.read("basePort", config.basePort);
    fields.read("slots", config.limits.slots);
    fields.read("connections", config.limits.connections);
    fields.read("connectCostMs", config.limits.connectCost);
    fields.read("queueLength", config.queueLength);
    fields.read("loadLagMs", config.loadLag);
    fields.read("startsWarm", config.startsWarm);
    if (fields.has("indexVersions"))
        config.indexVersions.clear();
    readArray(fields, "indexVersions", config.name, reason, [&](JsonFields version) {
        config.indexVersions.push_back(readIndexVersion(std::move(version)));
    });
    if (const json::value *time = fields.find("serviceTime"))
        readServiceTime({*time, config.name + ".serviceTime", reason}, config.serviceTime);
    if (const json::value *cold = fields.find("cold"))
        readCold({*cold, config.name + ".cold", reason}, config.limits, config.coldOverload);
    fields.rejectUnknownFields();
    if (config.name.empty())
        fields.fail("name", "a name that is not empty");
    if (config.shards == 0 || config.replicas == 0 || config.searchersPerInstance == 0 ||
        config.limits.slots == 0 || config.limits.connections == 0)
        fields.fail("",
                    "at least 1 in shards, replicas, searchersPerInstance, slots and connections");
    if (config.zones.empty() || config.backEndVersions.empty() || config.indexVersions.empty())
        fields.fail("", "at least one element in zones, backEndVersions and indexVersions");
    if (config.basePort + std::uint64_t{config.shards} * config.replicas > 65536)
        fields.fail("basePort", "ports up to 65535");
    return config;
}

SearcherSelector readSelector(JsonFields fields)
{
    SearcherSelector select;
    fields.read("service", select.services);
    fields.read("zone", select.zones);
    fields.read("version", select.versions);
    fields.read("address", select.addresses);
    fields.read("shard", select.shards);
    fields.read("replica", select.replicas);
    fields.read("count", select.count);
    fields.rejectUnknownFields();
    return select;
}

void readRoute(JsonFields &fields, std::optional<RequestKind> &route)
{
    std::string name;
    fields.read("route", name);
    if (name == "search")
        route = RequestKind::Search;
    else if (name == "book")
        route = RequestKind::Book;
    else if (name == "any")
        route.reset();
    else if (!name.empty())
        fields.fail("route", "search, book or any");
}

void readFaults(JsonFields &fields, SearcherFaults &faults)
{
    fields.read("silent", faults.isSilent);
    fields.read("drain", faults.isDraining);
    if (const json::value *load = fields.find("lieLoad")) {
        boost::system::error_code code;
        const auto number = load->to_number<std::uint32_t>(code);
        faults.reportedLoad = number;
        if (load->is_null())
            faults.reportedLoad.reset();
        else if (code)
            fields.fail("lieLoad", "a whole number or null");
    }
    readRoute(fields, faults.route);
    fields.read("aboveInFlight", faults.aboveInFlight);
    fields.read("slowFactor", faults.slowFactor);
    fields.read("failProbability", faults.failProbability);
    fields.read("closeAfterRead", faults.closesAfterRead);
    fields.read("closeBeforeAnswer", faults.closesBeforeAnswer);
    fields.read("answerTwice", faults.answersTwice);
    fields.read("wrongRequestId", faults.hasWrongRequestId);
    fields.read("wrongIndexVersion", faults.hasWrongIndexVersion);
    fields.read("answerLateMs", faults.answerLate);
    fields.rejectUnknownFields();
}

/// Name of an action in control commands.
struct ActionName
{
    const char *name;
    SearcherAction action;
};
constexpr ActionName ActionNames[] = {
        {"stop", SearcherAction::Stop},
        {"start", SearcherAction::Start},
        {"cold", SearcherAction::Cold},
        {"silenceOpenConnections", SearcherAction::SilenceOpenConnections},
        {"closeConnections", SearcherAction::CloseConnections},
        {"dropOldestIndexVersion", SearcherAction::DropOldestIndexVersion},
        {"resetCounters", SearcherAction::ResetCounters},
};

std::int64_t toEpochMs(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

json::object formatStarts(const StartStatistics &statistics)
{
    json::object object{{"starts", statistics.starts}, {"failures", statistics.failures}};
    if (statistics.first)
        object["firstStartMs"] = toEpochMs(*statistics.first);
    if (statistics.last)
        object["lastStartMs"] = toEpochMs(*statistics.last);
    return object;
}

json::object formatStartsByName(const std::map<std::string, StartStatistics> &startsByName)
{
    json::object object;
    for (const auto &[name, statistics] : startsByName)
        object[name] = formatStarts(statistics);
    return object;
}

/// Totals of the searchers of one service, or of all searchers.
struct SearcherTotals
{
    std::uint64_t searchers = 0;
    std::uint64_t listening = 0;
    std::uint64_t cold = 0;
    SearcherCounters counters;
    BookingRunCounts bookings;
    std::map<std::string, StartStatistics> byVersion;
    std::map<std::string, StartStatistics> byZone;

    void add(const SearcherStatus &searcher)
    {
        ++searchers;
        listening += searcher.isListening;
        cold += searcher.report.isCold;
        counters += searcher.counters;
        bookings.merge(searcher.bookings);
        for (const auto &[version, statistics] : searcher.startsByVersion) {
            byVersion[version].merge(statistics);
            byZone[searcher.entry.zone].merge(statistics);
        }
    }

    json::object format() const
    {
        json::object object{{"searchers", searchers}, {"listening", listening}, {"cold", cold}};
        for (const CounterField &field : CounterFields)
            object[field.name] = counters.*field.member;
        object["bookingsRepeatedByRequestId"] = bookings.repeatedIds();
        object["bookingsRepeatedByKey"] = bookings.repeatedKeys();
        object["requestsRunTwice"] = counters.requestsRunTwice + bookings.repeatedIds();
        object["versions"] = formatStartsByName(byVersion);
        object["zones"] = formatStartsByName(byZone);
        return object;
    }
};

json::object formatSearcher(const SearcherStatus &searcher)
{
    json::object object{
            {"address", searcher.entry.address},
            {"service", searcher.entry.service},
            {"zone", searcher.entry.zone},
            {"shard", searcher.entry.shard},
            {"replica", searcher.replica},
            {"backEndVersion", searcher.entry.backEndVersion},
            {"listening", searcher.isListening},
            {"cold", searcher.report.isCold},
            {"draining", searcher.report.isDraining},
            {"bootId", std::to_string(searcher.report.bootId)},
            {"oldestIndexVersion", searcher.report.served.oldest},
            {"newestIndexVersion", searcher.report.served.newest},
    };
    for (const CounterField &field : CounterFields)
        object[field.name] = searcher.counters.*field.member;
    object["versions"] = formatStartsByName(searcher.startsByVersion);
    return object;
}

} // namespace

std::optional<FleetConfig> parseFleetConfig(std::string_view text, std::string &reason)
{
    const auto root = parseJson(text, reason);
    if (!root)
        return std::nullopt;
    FleetConfig config;
    JsonFields fields(*root, "config", reason);
    fields.read("bind", config.bindIp);
    fields.read("seed", config.seed);
    fields.read("threads", config.threads);
    readArray(fields, "services", "config", reason, [&](JsonFields service) {
        config.services.push_back(readService(std::move(service), reason));
    });
    fields.rejectUnknownFields();
    if (config.services.empty())
        fields.fail("services", "at least one service");
    if (!reason.empty())
        return std::nullopt;
    return config;
}

std::optional<ControlCommand> parseControlCommand(std::string_view text, std::string &reason)
{
    const auto root = parseJson(text, reason);
    if (!root)
        return std::nullopt;
    ControlCommand command;
    JsonFields fields(*root, "control", reason);
    if (const json::value *select = fields.find("select"))
        command.select = readSelector({*select, "select", reason});
    fields.read("clear", command.clearsFaults);
    if (const json::value *faults = fields.find("faults")) {
        SearcherFaults checked;
        JsonFields checkedFields(*faults, "faults", reason);
        readFaults(checkedFields, checked);
        // The fields were checked above. They are read again for each searcher, so that faults that
        // they do not name stay as they are.
        command.changeFaults = [patch = *faults](SearcherFaults &target) {
            std::string ignored;
            JsonFields patchFields(patch, "faults", ignored);
            readFaults(patchFields, target);
        };
    }
    std::vector<std::string> actions;
    fields.read("actions", actions);
    for (const std::string &name : actions) {
        const auto *found = std::ranges::find(ActionNames, name, &ActionName::name);
        if (found == std::end(ActionNames))
            fields.fail("actions", "stop, start, cold, silenceOpenConnections, closeConnections, "
                                   "dropOldestIndexVersion or resetCounters");
        else
            command.actions.push_back(found->action);
    }
    if (const json::value *version = fields.find("addIndexVersion"))
        command.addIndexVersion = readIndexVersion({*version, "addIndexVersion", reason});
    if (fields.has("backEndVersion"))
        fields.read("backEndVersion", command.backEndVersion.emplace());
    fields.read("afterMs", command.after);
    fields.read("spreadMs", command.spread);
    fields.rejectUnknownFields();
    if (!reason.empty())
        return std::nullopt;
    return command;
}

std::string formatFleetStatus(const FleetStatus &status, bool withSearchers)
{
    SearcherTotals all;
    std::map<std::string, SearcherTotals> services;
    json::array searchers;
    for (const SearcherStatus &searcher : status.searchers) {
        all.add(searcher);
        services[searcher.entry.service].add(searcher);
        if (withSearchers)
            searchers.push_back(formatSearcher(searcher));
    }
    json::object byService;
    for (const auto &[name, totals] : services)
        byService[name] = totals.format();
    json::object root{{"nowMs", toEpochMs(std::chrono::system_clock::now())},
                      {"total", all.format()},
                      {"services", std::move(byService)}};
    if (withSearchers)
        root["searchers"] = std::move(searchers);
    return json::serialize(root);
}

std::string formatBookings(const FleetStatus &status)
{
    BookingRunCounts merged;
    for (const SearcherStatus &searcher : status.searchers)
        merged.merge(searcher.bookings);
    json::object runs;
    for (const auto &[key, count] : merged.runsByKey())
        runs[key] = count;
    return json::serialize(json::object{{"runs", std::move(runs)}});
}

} // namespace geraniumcart::tools
