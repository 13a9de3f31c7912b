#include "process/rollout_recorder_codec_p.h"

#include <boost/json.hpp>

namespace geraniumcart {

namespace {

constexpr std::string_view DoneText = "done";
constexpr std::string_view RolledBackText = "takenBack";

} // namespace

std::string formatRolloutRecord(const RolloutRecord &record)
{
    const auto by = std::chrono::duration_cast<std::chrono::seconds>(record.by.time_since_epoch());
    return boost::json::serialize(boost::json::object{
            {"service", record.service},
            {"version", record.version},
            {"bySeconds", by.count()},
            {"state", record.state == RolloutPhase::Done ? DoneText : RolledBackText},
            {"reason", record.reason},
            {"rulesVersion", record.rulesVersion}});
}

std::optional<RolloutRecord> parseRolloutRecord(std::string_view json)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object())
        return std::nullopt;
    const boost::json::object &object = value.get_object();
    for (const std::string_view name : {"service", "version", "state", "reason"})
        if (const auto *field = object.if_contains(name); !field || !field->is_string())
            return std::nullopt;
    for (const std::string_view name : {"bySeconds", "rulesVersion"})
        if (const auto *field = object.if_contains(name); !field || !field->is_int64())
            return std::nullopt;
    const auto text = [&](std::string_view name) {
        return std::string(object.at(name).get_string());
    };
    const std::string state = text("state");
    if (state != DoneText && state != RolledBackText)
        return std::nullopt;
    return RolloutRecord{text("service"),
                         text("version"),
                         WallTime(std::chrono::seconds(object.at("bySeconds").get_int64())),
                         state == DoneText ? RolloutPhase::Done : RolloutPhase::RolledBack,
                         text("reason"),
                         static_cast<std::uint64_t>(object.at("rulesVersion").get_int64())};
}

} // namespace geraniumcart
