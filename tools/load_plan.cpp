#include "load_plan.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace geraniumcart::tools {

namespace {

/// Accepted error of the sum of the shares: they are typed as decimal fractions, and 1/3 can only
/// be written rounded.
constexpr double ShareTolerance = 0.01;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

template <typename T>
bool parseNumber(std::string_view text, T &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::vector<double> sharesOf(const std::vector<ClassShare> &classes)
{
    std::vector<double> shares;
    for (const ClassShare &share : classes)
        shares.push_back(share.share);
    return shares;
}

} // namespace

std::optional<std::vector<ClassShare>> parseClasses(std::string_view text, std::string &reason)
{
    std::vector<ClassShare> classes;
    double total = 0;
    for (const std::string_view part : split(text, ',')) {
        const auto fields = split(part, ':');
        ClassShare share;
        if (fields.size() != 3 || fields[0].empty() || !parseNumber(fields[1], share.weight) ||
            share.weight == 0 || !parseNumber(fields[2], share.share) || !(share.share >= 0)) {
            reason = "expected name:weight:share, got '" + std::string(part) + "'";
            return std::nullopt;
        }
        share.name = std::string(fields[0]);
        if (std::ranges::find(classes, share.name, &ClassShare::name) != classes.end()) {
            reason = "class '" + share.name + "' is named twice";
            return std::nullopt;
        }
        total += share.share;
        classes.push_back(std::move(share));
    }
    if (std::abs(total - 1) > ShareTolerance) {
        reason = "the shares of the classes add up to " + std::to_string(total) + ", expected 1";
        return std::nullopt;
    }
    return classes;
}

ArrivalProcess::ArrivalProcess(const ArrivalConfig &config, std::uint64_t seed)
    : m_random(seed)
    , m_gapSeconds(config.ratePerSecond)
    , m_tenant(0, std::max(1U, config.tenants) - 1)
    , m_booking(config.bookingShare)
{
    const std::vector<double> shares = sharesOf(config.classes);
    m_class = std::discrete_distribution<std::uint32_t>(shares.begin(), shares.end());
}

PlannedRequest ArrivalProcess::next()
{
    m_lastStart +=
            std::chrono::round<Duration>(std::chrono::duration<double>(m_gapSeconds(m_random)));
    PlannedRequest request;
    request.intendedStart = m_lastStart;
    request.number = ++m_lastNumber;
    request.classIndex = m_class(m_random);
    request.tenantIndex = m_tenant(m_random);
    request.isBooking = m_booking(m_random);
    return request;
}

} // namespace geraniumcart::tools
