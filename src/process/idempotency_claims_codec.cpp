#include "process/idempotency_claims_codec_p.h"

#include <boost/json.hpp>

#include <cctype>

namespace geraniumcart {

namespace {

constexpr std::string_view RunningText = "running";
constexpr std::string_view DoneText = "done";
constexpr std::string_view NotRunText = "notRun";

std::string_view textOf(ClaimPhase phase)
{
    switch (phase) {
    case ClaimPhase::Running:
        return RunningText;
    case ClaimPhase::Done:
        return DoneText;
    case ClaimPhase::NotRun:
        return NotRunText;
    }
    return RunningText;
}

std::optional<ClaimPhase> phaseOf(std::string_view text)
{
    for (const ClaimPhase phase : {ClaimPhase::Running, ClaimPhase::Done, ClaimPhase::NotRun})
        if (text == textOf(phase))
            return phase;
    return std::nullopt;
}

std::optional<std::string> stringField(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

/// Appends @p text in percent-encoding; letters, digits, `-` and `_` stay.
void appendEncoded(std::string &out, std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80 && (std::isalnum(byte) || c == '-' || c == '_')) {
            out += c;
        } else {
            out += '%';
            out += Digits[byte >> 4];
            out += Digits[byte & 15];
        }
    }
}

} // namespace

std::string formatClaim(const ClaimRecord &record)
{
    boost::json::object object{{"nonce", record.nonce},
                               {"fingerprint", record.fingerprint},
                               {"phase", textOf(record.phase)}};
    if (record.phase == ClaimPhase::Done)
        object["body"] = record.body;
    return boost::json::serialize(object);
}

std::optional<ClaimRecord> parseClaim(std::string_view json)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object())
        return std::nullopt;
    const boost::json::object &object = value.get_object();
    const auto nonce = stringField(object, "nonce");
    const auto fingerprint = stringField(object, "fingerprint");
    const auto phase = phaseOf(stringField(object, "phase").value_or(""));
    const auto body = stringField(object, "body");
    if (!nonce || !fingerprint || !phase || (*phase == ClaimPhase::Done && !body))
        return std::nullopt;
    return ClaimRecord{*nonce, *fingerprint, *phase, body.value_or("")};
}

std::string claimKey(std::string_view tenant, std::string_view key)
{
    std::string encoded = "claims/";
    appendEncoded(encoded, tenant);
    encoded += '/';
    appendEncoded(encoded, key);
    return encoded;
}

} // namespace geraniumcart
