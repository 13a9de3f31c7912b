#include <catch2/catch.hpp>

#include <geraniumcart/settings.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

using Arguments = std::vector<std::string>;

const Arguments Required{"--name",   "entry-1",       "--zone",        "cairo-b",
                         "--listen", "127.0.0.1:0",   "--peer-listen", "127.0.0.1:0",
                         "--store",  "127.0.0.1:7000"};

/// Sets an environment variable during the lifetime of the object.
class ScopedVariable
{
public:
    ScopedVariable(std::string name, const std::string &value)
        : m_name(std::move(name))
    {
        ::setenv(m_name.c_str(), value.c_str(), 1);
    }
    ~ScopedVariable() { ::unsetenv(m_name.c_str()); }
    ScopedVariable(const ScopedVariable &) = delete;
    ScopedVariable &operator=(const ScopedVariable &) = delete;

private:
    std::string m_name;
};

std::optional<Settings> parse(const Arguments &arguments, SettingsFailure &failure)
{
    std::vector<const char *> argv{"geraniumcartd"};
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    return parseSettings(static_cast<int>(argv.size()), argv.data(), failure);
}

/// The required flags, with the value of @p flag replaced, or with @p flag added.
Arguments with(const std::string &flag, const std::string &value)
{
    Arguments arguments = Required;
    for (std::size_t i = 0; i < arguments.size(); i += 2)
        if (arguments[i] == flag) {
            arguments[i + 1] = value;
            return arguments;
        }
    arguments.push_back(flag + "=" + value);
    return arguments;
}

} // namespace

// Guards against a daemon that starts with an invalid value, and against an error message without
// the setting, the value or the accepted range.
TEST_CASE("an invalid setting is refused with its name, value and accepted range")
{
    const auto [flag, value, accepted] = GENERATE(table<std::string, std::string, std::string>({
            {"--name", "", "1 to 64"},
            {"--name", "two words", "1 to 64"},
            {"--name", std::string(65, 'a'), "1 to 64"},
            {"--zone", "cairo/b", "1 to 64"},
            {"--listen", "localhost:80", "IP:port"},
            {"--listen", "0.0.0.0:80", "no wildcard"},
            {"--listen", "127.0.0.1", "IP:port"},
            {"--listen", "127.0.0.1:", "IP:port"},
            {"--listen", "127.0.0.1:65536", "0 to 65535"},
            {"--listen", "::1:80", "brackets"},
            {"--listen", "[127.0.0.1]:80", "brackets"},
            {"--peer-listen", "[::]:1", "no wildcard"},
            {"--store", "127.0.0.1:0", "1 to 65535"},
            {"--seeds", "127.0.0.1:1,", "commas"},
            {"--seeds", "127.0.0.1:1,,127.0.0.1:2", "commas"},
            {"--seeds", "127.0.0.1:0", "commas"},
            {"--cell", "a b", "1 to 64"},
            {"--workers", "0", "1 to 256"},
            {"--workers", "257", "1 to 256"},
            {"--workers", "-1", "1 to 256"},
            {"--workers", "2x", "1 to 256"},
            {"--workers", "", "1 to 256"},
            {"--routing", "Owner", "owner, direct"},
            {"--choice", "best", "least-loaded, random"},
            {"--hedging", "always", "quantile, none"},
            {"--admission", "open", "weighted, unlimited"},
            {"--hedge-share", "1.01", "0 to 1"},
            {"--hedge-share", "-0.1", "0 to 1"},
            {"--hedge-share", "nan", "0 to 1"},
            {"--retry-share", "5%", "0 to 1"},
            {"--drain", "3", "unit ms or s"},
            {"--drain", "-3s", "unit ms or s"},
            {"--drain", "601s", "600s"},
            {"--drain", "3m", "unit ms or s"},
            {"--drain", "99999999999s", "600s"},
            {"--max-connections", "0", "1 to 1000000"},
            {"--listen-backlog", "65536", "1 to 65535"},
            {"--log-level", "loud", "trace, debug, info, warn, error"},
    }));
    INFO(flag << " " << value);

    SettingsFailure failure;
    CHECK_FALSE(parse(with(flag, value), failure));
    CHECK(failure.error == SettingsError::BadValue);
    CHECK(failure.message.find(flag + ": '" + value + "'") == 0);
    CHECK(failure.message.find(accepted) != std::string::npos);
}

// Guards against misspelt, repeated or stray arguments that are silently ignored.
TEST_CASE("arguments that are not complete flags are refused")
{
    const auto [extra, error, message] = GENERATE(table<Arguments, SettingsError, std::string>({
            {{"--worker", "3"}, SettingsError::UnknownFlag, "worker"},
            {{"-w", "3"}, SettingsError::UnknownFlag, "w"},
            {{"stray"}, SettingsError::UnknownFlag, "'stray'"},
            {{"--workers"},
             SettingsError::BadValue,
             "--workers: '' is not accepted; "
             "accepted: 1 to 256"},
            {{"--workers", "1", "--workers", "2"},
             SettingsError::BadValue,
             "--workers is given more than once"},
    }));
    INFO(message);

    Arguments arguments = Required;
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    SettingsFailure failure;
    CHECK_FALSE(parse(arguments, failure));
    CHECK(failure.error == error);
    CHECK(failure.message.find(message) != std::string::npos);
}

// Guards against a daemon that starts without a setting that has no sensible default.
TEST_CASE("a missing required setting is named with its flag and variable")
{
    const auto [flag, variable] = GENERATE(table<std::string, std::string>({
            {"--name", "GERANIUMCART_NAME"},
            {"--zone", "GERANIUMCART_ZONE"},
            {"--listen", "GERANIUMCART_LISTEN"},
            {"--peer-listen", "GERANIUMCART_PEER_LISTEN"},
            {"--store", "GERANIUMCART_STORE"},
    }));
    INFO(flag);

    Arguments arguments;
    std::string removed;
    for (std::size_t i = 0; i < Required.size(); i += 2)
        if (Required[i] == flag)
            removed = Required[i + 1];
        else
            arguments.insert(arguments.end(), {Required[i], Required[i + 1]});
    SettingsFailure failure;
    CHECK_FALSE(parse(arguments, failure));
    CHECK(failure.error == SettingsError::Missing);
    CHECK(failure.message.find(flag + " or " + variable + " is required") == 0);

    const ScopedVariable given(variable, removed);
    CHECK(parse(arguments, failure));
}

// Guards against a flag or variable that is read but not applied, and against a variable that
// overrides its flag.
TEST_CASE("flags and environment variables set the same settings")
{
    using Check = bool (*)(const Settings &);
    const auto [flag, variable, value, isApplied] =
            GENERATE(
                    table<std::string, std::string, std::string, Check>({
                            {"--name", "GERANIUMCART_NAME", "a.b_c-9",
                             [](const Settings &s) { return s.name == "a.b_c-9"; }},
                            {"--zone", "GERANIUMCART_ZONE", "z",
                             [](const Settings &s) { return s.zone == "z"; }},
                            {"--listen", "GERANIUMCART_LISTEN", "[::1]:80",
                             [](const Settings &s) { return s.listen == "[::1]:80"; }},
                            {"--peer-listen", "GERANIUMCART_PEER_LISTEN", "127.0.0.2:9",
                             [](const Settings &s) { return s.peerListen == "127.0.0.2:9"; }},
                            {"--store", "GERANIUMCART_STORE", "127.0.0.1:65535",
                             [](const Settings &s) { return s.store == "127.0.0.1:65535"; }},
                            {"--seeds", "GERANIUMCART_SEEDS", "127.0.0.1:1,[::1]:2",
                             [](const Settings &s) {
                                 return s.seeds == Arguments{"127.0.0.1:1", "[::1]:2"};
                             }},
                            {"--cell", "GERANIUMCART_CELL", "cairo",
                             [](const Settings &s) { return s.cell == "cairo"; }},
                            {"--workers", "GERANIUMCART_WORKERS", "256",
                             [](const Settings &s) { return s.workers == 256; }},
                            {"--routing", "GERANIUMCART_ROUTING", "direct",
                             [](const Settings &s) { return s.routing == RoutingMode::Direct; }},
                            {"--choice", "GERANIUMCART_CHOICE", "random",
                             [](const Settings
                                        &s) { return s.choice == ReplicaChoiceKind::Random; }},
                            {"--hedging", "GERANIUMCART_HEDGING", "none",
                             [](const Settings &s) { return s.hedging == HedgingKind::None; }},
                            {"--admission", "GERANIUMCART_ADMISSION", "unlimited",
                             [](const Settings &s) {
                                 return s.admission == AdmissionKind::Unlimited;
                             }},
                            {"--hedge-share", "GERANIUMCART_HEDGE_SHARE", "1",
                             [](const Settings &s) { return s.hedgeShare == 1.0; }},
                            {"--retry-share", "GERANIUMCART_RETRY_SHARE", "0",
                             [](const Settings &s) { return s.retryShare == 0.0; }},
                            {"--drain", "GERANIUMCART_DRAIN", "250ms",
                             [](const Settings &s) { return s.drain == 250ms; }},
                            {"--max-connections", "GERANIUMCART_MAX_CONNECTIONS", "7",
                             [](const Settings &s) { return s.maxConnections == 7; }},
                            {"--listen-backlog", "GERANIUMCART_LISTEN_BACKLOG", "9",
                             [](const Settings &s) { return s.listenBacklog == 9; }},
                            {"--log-level", "GERANIUMCART_LOG_LEVEL", "error",
                             [](const Settings &s) { return s.logLevel == "error"; }},
                    }));
    INFO(flag);

    SettingsFailure failure;
    {
        const ScopedVariable wrong(variable, "?");
        const std::optional<Settings> fromFlag = parse(with(flag, value), failure);
        REQUIRE(fromFlag);
        CHECK(isApplied(*fromFlag));
    }
    Arguments arguments;
    for (std::size_t i = 0; i < Required.size(); i += 2)
        if (Required[i] != flag)
            arguments.insert(arguments.end(), {Required[i], Required[i + 1]});
    const ScopedVariable given(variable, value);
    const std::optional<Settings> fromVariable = parse(arguments, failure);
    REQUIRE(fromVariable);
    CHECK(isApplied(*fromVariable));

    CHECK_FALSE(parse({"--help"}, failure));
    CHECK(failure.error == SettingsError::HelpWanted);
    CHECK(failure.message.find(flag) != std::string::npos);
    CHECK(failure.message.find("$" + variable) != std::string::npos);
}

// Guards against flag defaults that differ from the defaults of the struct, which embedders use.
TEST_CASE("the defaults of the flags equal those of the struct")
{
    using Check = bool (*)(const Settings &, const Settings &);
    const auto [name, isEqual] = GENERATE(table<const char *, Check>({
            {"seeds", [](const Settings &a, const Settings &b) { return a.seeds == b.seeds; }},
            {"workers",
             [](const Settings &a, const Settings &b) { return a.workers == b.workers; }},
            {"routing",
             [](const Settings &a, const Settings &b) { return a.routing == b.routing; }},
            {"choice", [](const Settings &a, const Settings &b) { return a.choice == b.choice; }},
            {"hedging",
             [](const Settings &a, const Settings &b) { return a.hedging == b.hedging; }},
            {"admission",
             [](const Settings &a, const Settings &b) { return a.admission == b.admission; }},
            {"hedge-share",
             [](const Settings &a, const Settings &b) { return a.hedgeShare == b.hedgeShare; }},
            {"retry-share",
             [](const Settings &a, const Settings &b) { return a.retryShare == b.retryShare; }},
            {"drain", [](const Settings &a, const Settings &b) { return a.drain == b.drain; }},
            {"max-connections",
             [](const Settings &a,
                const Settings &b) { return a.maxConnections == b.maxConnections; }},
            {"listen-backlog",
             [](const Settings &a,
                const Settings &b) { return a.listenBacklog == b.listenBacklog; }},
            {"log-level",
             [](const Settings &a, const Settings &b) { return a.logLevel == b.logLevel; }},
    }));
    INFO(name);

    SettingsFailure failure;
    const std::optional<Settings> parsed = parse(Required, failure);
    REQUIRE(parsed);
    CHECK(isEqual(*parsed, Settings()));
}
