#include "process/lease_codec_p.h"

#include <boost/json.hpp>

namespace geraniumcart {

std::string formatLease(const LeaseRecord &record)
{
    return boost::json::serialize(boost::json::object{{"holder", record.holder},
                                                      {"incarnation", record.incarnation},
                                                      {"termMs", record.term.count()},
                                                      {"renewal", record.renewal}});
}

std::optional<LeaseRecord> parseLease(std::string_view json)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object())
        return std::nullopt;
    const boost::json::object &object = value.get_object();
    const auto number = [&](std::string_view name) -> std::optional<std::uint64_t> {
        const boost::json::value *field = object.if_contains(name);
        boost::json::error_code failed;
        const auto result =
                field && field->is_number() ? field->to_number<std::uint64_t>(failed) : 0;
        if (!field || !field->is_number() || failed)
            return std::nullopt;
        return result;
    };
    const boost::json::value *holder = object.if_contains("holder");
    const auto incarnation = number("incarnation");
    const auto term = number("termMs");
    const auto renewal = number("renewal");
    // A term of more than a day would block the duty for that time; no daemon writes such a term.
    constexpr std::uint64_t MaxTermMs = 24ull * 3600 * 1000;
    if (!holder || !holder->is_string() || !incarnation || !term || *term > MaxTermMs || !renewal)
        return std::nullopt;
    return LeaseRecord{std::string(holder->get_string()), *incarnation,
                       std::chrono::milliseconds(*term), *renewal};
}

} // namespace geraniumcart
