#pragma once

#include "connection/answer_reader_p.h"

#include <geraniumcart/config.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart::fuzz {

/// Result of reading one answer.
struct AnswerOutcome
{
    AnswerReader::Progress progress = AnswerReader::Progress::NeedMore;
    UpstreamReply reply;
    bool isReusable = false;
    bool operator==(const AnswerOutcome &other) const
    {
        return progress == other.progress && reply.status == other.reply.status &&
               reply.body == other.reply.body && reply.signature == other.reply.signature &&
               reply.isNotRun == other.reply.isNotRun && reply.pause == other.reply.pause &&
               isReusable == other.isReusable;
    }
};

/// Reads @p bytes in pieces of @p step bytes until the answer is complete or malformed. What is
/// left then is fed as well, as by a searcher that sends on; it must not change the answer.
inline AnswerOutcome readAnswer(std::string_view bytes, std::size_t step, OpenAnswers &openAnswers)
{
    static const UpstreamHeaderNames Names{"Id",     "Time-Left", "Sign",    "Meant-For",
                                           "NotRun", "Load",      "Leaving", "Limit"};
    AnswerReader reader(Names, openAnswers);
    reader.start("r1", false);
    AnswerOutcome outcome;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        outcome.progress = reader.feed(bytes.substr(at, step));
        if (outcome.progress != AnswerReader::Progress::NeedMore)
            break;
    }
    if (outcome.progress == AnswerReader::Progress::NeedMore)
        outcome.progress = reader.end();
    if (outcome.progress == AnswerReader::Progress::Answer) {
        outcome.reply = reader.takeReply();
        outcome.isReusable = reader.isReusable();
    }
    return outcome;
}

/// Reads @p input, without its first byte, as the answer to a request: at once and in pieces whose
/// size the first byte gives.
/// @return the violated property, or nullptr if all hold
inline const char *checkAnswer(std::span<const std::uint8_t> input)
{
    if (input.empty())
        return nullptr;
    const std::string_view bytes(reinterpret_cast<const char *>(input.data() + 1),
                                 input.size() - 1);
    OpenAnswers openAnswers;
    const AnswerOutcome whole =
            readAnswer(bytes, std::max<std::size_t>(bytes.size(), 1), openAnswers);
    if (openAnswers.bytes() != 0)
        return "the bytes of an answer are released with it";
    if (whole.reply.body.size() > MaxAnswerBytes)
        return "a body is not larger than allowed";
    if (whole.progress == AnswerReader::Progress::Answer && whole.reply.status < 200)
        return "an interim answer is not the answer";
    if (whole.reply.pause < Duration::zero() || whole.reply.pause > MaxPause)
        return "a pause is within its bounds";
    const AnswerOutcome pieces = readAnswer(bytes, 1 + input[0] % 64, openAnswers);
    // Bytes after a complete answer that arrive later are seen only by the next read.
    AnswerOutcome comparable = pieces;
    if (pieces.progress == AnswerReader::Progress::Answer && !whole.isReusable)
        comparable.isReusable = false;
    return comparable == whole ? nullptr : "an answer does not depend on how its bytes arrive";
}

} // namespace geraniumcart::fuzz
