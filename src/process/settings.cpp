#include <geraniumcart/config.h>
#include <geraniumcart/settings.h>

#include "process/log_p.h"

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <span>

namespace geraniumcart {

namespace {

constexpr std::size_t MaxSeeds = 64;
const std::string AcceptedName = "1 to " + std::to_string(MaxNameBytes) + " of A-Z a-z 0-9 . _ -";

/// One setting: its names, its description, and the function that parses its value.
struct SettingSpec
{
    const char *flag;
    const char *environment;
    /// Default value; null if the setting is required.
    const char *defaultText;
    std::string accepted;
    const char *help;
    /// Stores the value of @p text in @p settings. @return false if the value is not accepted
    bool (*apply)(Settings &settings, std::string_view text);
};

bool isName(std::string_view text)
{
    const auto isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= MaxNameBytes && std::ranges::all_of(text, isAllowed);
}

template <class Number>
bool parseNumber(std::string_view text, Number low, Number high, Number &result)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    // Written so that NaN, which fails every comparison, is refused.
    if (error != std::errc() || stop != end || !(value >= low && value <= high))
        return false;
    result = value;
    return true;
}

bool isAddress(std::string_view text, std::uint32_t lowestPort)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    std::uint32_t port = 0;
    return !error && address.is_v6() == isBracketed && !address.is_unspecified() &&
           parseNumber<std::uint32_t>(text.substr(colon + 1), lowestPort, 65535, port);
}

/// Parses an address to bind. With port 0 the kernel picks a port. A wildcard is refused, since the
/// same address is announced to callers and peers.
bool parseListenAddress(std::string &target, std::string_view text)
{
    if (!isAddress(text, 0))
        return false;
    target = text;
    return true;
}

bool parseName(std::string &target, std::string_view text)
{
    if (!isName(text))
        return false;
    target = text;
    return true;
}

bool parseSeeds(std::vector<std::string> &target, std::string_view text)
{
    target.clear();
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const std::string_view seed = text.substr(0, comma);
        if (!isAddress(seed, 1) || target.size() == MaxSeeds)
            return false;
        target.emplace_back(seed);
        if (comma == std::string_view::npos)
            return true;
        text.remove_prefix(comma + 1);
        if (text.empty())
            return false;
    }
    return true;
}

bool parseDuration(Duration &target, std::string_view text, Duration low, Duration high)
{
    const std::size_t unitStart = std::min(text.find_first_not_of("0123456789"), text.size());
    const std::string_view unit = text.substr(unitStart);
    std::uint32_t count = 0;
    if (!parseNumber<std::uint32_t>(text.substr(0, unitStart), 0, 1'000'000'000, count))
        return false;
    Duration value{};
    if (unit == "ms")
        value = std::chrono::milliseconds(count);
    else if (unit == "s")
        value = std::chrono::seconds(count);
    else
        return false;
    if (value < low || value > high)
        return false;
    target = value;
    return true;
}

template <class Kind>
struct Choice
{
    std::string_view text;
    Kind kind;
};

/// Parses one of @p Choices into the setting @p Member.
template <auto Member, const auto &Choices>
bool parseChoice(Settings &settings, std::string_view text)
{
    const auto found = std::ranges::find_if(
            Choices, [text](const auto &choice) { return choice.text == text; });
    if (found == Choices.end())
        return false;
    settings.*Member = found->kind;
    return true;
}

constexpr std::array RoutingChoices{Choice<RoutingMode>{"owner", RoutingMode::Owner},
                                    Choice<RoutingMode>{"direct", RoutingMode::Direct}};
constexpr std::array ReplicaChoices{
        Choice<ReplicaChoiceKind>{"least-loaded", ReplicaChoiceKind::LeastLoaded},
        Choice<ReplicaChoiceKind>{"random", ReplicaChoiceKind::Random}};
constexpr std::array HedgingChoices{Choice<HedgingKind>{"quantile", HedgingKind::Quantile},
                                    Choice<HedgingKind>{"none", HedgingKind::None}};
constexpr std::array AdmissionChoices{Choice<AdmissionKind>{"weighted", AdmissionKind::Weighted},
                                      Choice<AdmissionKind>{"unlimited", AdmissionKind::Unlimited}};

const std::array Specs{
        SettingSpec{"name", "GERANIUMCART_NAME", nullptr, AcceptedName,
                    "name of this daemon, unique among its peers",
                    [](Settings &settings, std::string_view text) {
                        return parseName(settings.name, text);
                    }},
        SettingSpec{"zone", "GERANIUMCART_ZONE", nullptr, AcceptedName,
                    "availability zone of this daemon",
                    [](Settings &settings, std::string_view text) {
                        return parseName(settings.zone, text);
                    }},
        SettingSpec{"listen", "GERANIUMCART_LISTEN", nullptr,
                    "IP:port, port 0 to 65535, no wildcard; IPv6 in brackets",
                    "address to which callers connect; with port 0 the kernel picks a port",
                    [](Settings &settings, std::string_view text) {
                        return parseListenAddress(settings.listen, text);
                    }},
        SettingSpec{"peer-listen", "GERANIUMCART_PEER_LISTEN", nullptr,
                    "IP:port, port 0 to 65535, no wildcard; IPv6 in brackets",
                    "address to which peers connect; with port 0 the kernel picks a port",
                    [](Settings &settings, std::string_view text) {
                        return parseListenAddress(settings.peerListen, text);
                    }},
        SettingSpec{"store", "GERANIUMCART_STORE", nullptr,
                    "IP:port, port 1 to 65535; IPv6 in brackets", "address of the object store",
                    [](Settings &settings, std::string_view text) {
                        settings.store = text;
                        return isAddress(text, 1);
                    }},
        SettingSpec{"seeds", "GERANIUMCART_SEEDS", "",
                    "at most " + std::to_string(MaxSeeds) + " of IP:port, separated by commas",
                    "peers through which the daemon joins the fleet",
                    [](Settings &settings, std::string_view text) {
                        return parseSeeds(settings.seeds, text);
                    }},
        SettingSpec{"cell", "GERANIUMCART_CELL", "default", AcceptedName,
                    "name of the cell; the daemons of a cell share its searchers",
                    [](Settings &settings, std::string_view text) {
                        return parseName(settings.cell, text);
                    }},
        SettingSpec{"workers", "GERANIUMCART_WORKERS", "2", "1 to 256",
                    "threads that handle requests",
                    [](Settings &settings, std::string_view text) {
                        return parseNumber<std::uint32_t>(text, 1, 256, settings.workers);
                    }},
        SettingSpec{"routing", "GERANIUMCART_ROUTING", "owner", "owner, direct",
                    "whether one owner daemon or every daemon sends requests to a searcher",
                    parseChoice<&Settings::routing, RoutingChoices>},
        SettingSpec{"choice", "GERANIUMCART_CHOICE", "least-loaded", "least-loaded, random",
                    "how a replica is chosen", parseChoice<&Settings::choice, ReplicaChoices>},
        SettingSpec{"hedging", "GERANIUMCART_HEDGING", "quantile", "quantile, none",
                    "when a straggling shard is hedged",
                    parseChoice<&Settings::hedging, HedgingChoices>},
        SettingSpec{"admission", "GERANIUMCART_ADMISSION", "weighted", "weighted, unlimited",
                    "how callers' requests are admitted",
                    parseChoice<&Settings::admission, AdmissionChoices>},
        SettingSpec{"hedge-share", "GERANIUMCART_HEDGE_SHARE", "0.05", "0 to 1",
                    "share of first attempts that may be hedged",
                    [](Settings &settings, std::string_view text) {
                        return parseNumber<double>(text, 0, 1, settings.hedgeShare);
                    }},
        SettingSpec{"retry-share", "GERANIUMCART_RETRY_SHARE", "0.2", "0 to 1",
                    "share of first attempts that may be retried",
                    [](Settings &settings, std::string_view text) {
                        return parseNumber<double>(text, 0, 1, settings.retryShare);
                    }},
        SettingSpec{
                "drain", "GERANIUMCART_DRAIN", "3s", "0ms to 600s, with unit ms or s",
                "how long a stopping daemon keeps serving after its removal from the entries list",
                [](Settings &settings, std::string_view text) {
                    return parseDuration(settings.drain, text, Duration::zero(),
                                         std::chrono::seconds(600));
                }},
        SettingSpec{"max-connections", "GERANIUMCART_MAX_CONNECTIONS", "10000", "1 to 1000000",
                    "maximum number of open connections of callers",
                    [](Settings &settings, std::string_view text) {
                        return parseNumber<std::uint32_t>(text, 1, 1'000'000,
                                                          settings.maxConnections);
                    }},
        SettingSpec{"listen-backlog", "GERANIUMCART_LISTEN_BACKLOG", "1024", "1 to 65535",
                    "maximum number of connections that wait in the kernel to be accepted",
                    [](Settings &settings, std::string_view text) {
                        return parseNumber<std::uint32_t>(text, 1, 65535, settings.listenBacklog);
                    }},
        SettingSpec{"log-level", "GERANIUMCART_LOG_LEVEL", "info",
                    "trace, debug, info, warn, error", "lowest level that is logged",
                    [](Settings &settings, std::string_view text) {
                        settings.logLevel = text;
                        return parseLogLevel(text).has_value();
                    }},
};

cxxopts::Options makeOptions()
{
    cxxopts::Options options("geraniumcartd",
                             "Entry daemon of geraniumcart. A flag overrides its environment "
                             "variable.");
    options.add_options()("help", "show this text");
    for (const SettingSpec &spec : Specs) {
        std::string text =
                std::string(spec.help) + " (" + spec.accepted + ") [$" + spec.environment + "]";
        if (spec.defaultText && *spec.defaultText)
            text += std::string(" [default: ") + spec.defaultText + "]";
        else if (!spec.defaultText)
            text += " [required]";
        options.add_options()(spec.flag, text, cxxopts::value<std::vector<std::string>>());
    }
    return options;
}

std::nullopt_t fail(SettingsFailure &failure, SettingsError error, std::string message)
{
    failure = {error, std::move(message)};
    return std::nullopt;
}

/// Describes a flag without a value in the format of the other errors. cxxopts names the flag only
/// inside its message, in its own quotation marks.
std::string describeMissingValue(const std::string &message)
{
    for (const SettingSpec &spec : Specs)
        if (message.find(cxxopts::LQUOTE + spec.flag + cxxopts::RQUOTE) != std::string::npos)
            return std::string("--") + spec.flag +
                   ": '' is not accepted; accepted: " + spec.accepted;
    return message;
}

/// Values of a flag on the command line, in order.
std::vector<std::string> valuesOf(const cxxopts::ParseResult &parsed, std::string_view flag)
{
    std::vector<std::string> values;
    for (const cxxopts::KeyValue &argument : parsed.arguments())
        if (argument.key() == flag)
            values.push_back(argument.value());
    return values;
}

} // namespace

std::optional<Settings> parseSettings(int argc, const char *const *argv, SettingsFailure &failure)
{
    cxxopts::Options options = makeOptions();
    cxxopts::ParseResult parsed;
    try {
        parsed = options.parse(argc, argv);
    } catch (const cxxopts::exceptions::missing_argument &error) {
        return fail(failure, SettingsError::BadValue, describeMissingValue(error.what()));
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(failure, SettingsError::UnknownFlag, error.what());
    }
    if (parsed.count("help") > 0)
        return fail(failure, SettingsError::HelpWanted, options.help());
    if (!parsed.unmatched().empty())
        return fail(failure, SettingsError::UnknownFlag,
                    "argument '" + parsed.unmatched().front() + "' is not a flag");

    Settings settings;
    for (const SettingSpec &spec : Specs) {
        const std::vector<std::string> given = valuesOf(parsed, spec.flag);
        std::string source = std::string("--") + spec.flag;
        if (given.size() > 1)
            return fail(failure, SettingsError::BadValue, source + " is given more than once");
        std::string text;
        if (!given.empty()) {
            text = given.front();
        } else if (const char *variable = std::getenv(spec.environment)) {
            source = spec.environment;
            text = variable;
        } else if (spec.defaultText) {
            text = spec.defaultText;
        } else {
            return fail(failure, SettingsError::Missing,
                        source + " or " + spec.environment +
                                " is required; accepted: " + spec.accepted);
        }
        if (!spec.apply(settings, text))
            return fail(failure, SettingsError::BadValue,
                        source + ": '" + text + "' is not accepted; accepted: " + spec.accepted);
    }
    return settings;
}

} // namespace geraniumcart
