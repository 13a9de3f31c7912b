#pragma once

#include "connection/open_answers_p.h"

#include <geraniumcart/exchange.h>
#include <geraniumcart/timer_service.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumcart {

/// Names of the header fields between this daemon and searchers that HTTP itself does not define.
struct UpstreamHeaderNames
{
    std::string requestId;
    std::string deadline;
    std::string signature;
    std::string expectedInstance;
    std::string notRun;
    /// Field in which a searcher reports its load to this daemon; it is not passed on to the
    /// caller.
    std::string load;
    /// Field in which a searcher announces that it is about to stop.
    std::string leaving;
    /// Field in which a searcher states the requests per second that it takes from all daemons.
    std::string rateLimit;
    /// Field in which a searcher names itself in answers about its health.
    std::string instanceId{};
    /// Field in which a searcher states how long it stays cold.
    std::string warmUp{};
};

/// Reads the answers to the requests on one connection to a searcher from the received bytes,
/// without a socket. What it keeps of an answer is bounded, whatever the searcher sends.
class AnswerReader
{
public:
    enum class Progress : std::uint8_t {
        /// The answer is not complete.
        NeedMore,
        /// The answer to the current request is complete.
        Answer,
        /// The bytes are no answer to the current request. The connection must be closed.
        Malformed,
    };

    /// @param openAnswers must outlive the reader
    AnswerReader(const UpstreamHeaderNames &names, OpenAnswers &openAnswers);
    ~AnswerReader();

    /// Prepares for the answer to a request that is about to be sent.
    /// @param isHead true for a HEAD request, whose answer has no body
    void start(const std::string &requestId, bool isHead);
    /// Drops an answer in progress.
    void stop();
    /// True from start() until the answer is complete or malformed.
    bool isReading() const { return m_parser != nullptr; }

    /// Reads received bytes. Interim answers and answers to earlier requests are skipped.
    Progress feed(std::string_view bytes);
    /// Reads the end of the connection, if the searcher closed it without an error. After a reset
    /// the answer is incomplete instead.
    /// @return Answer or Malformed
    Progress end();

    /// The answer, after Progress::Answer.
    UpstreamReply takeReply() { return std::move(m_reply); }
    /// False if no further request may be sent on the connection.
    bool isReusable() const { return m_isReusable; }
    /// Idle timeout that the searcher announced last, if any.
    std::optional<Duration> keepAlive() const { return m_keepAlive; }

private:
    class Parser;

    void resetParser();
    /// Parses m_unparsed up to the end of one message.
    Progress parseMessage();
    Progress onMessage();
    Progress fail();

    const UpstreamHeaderNames &m_names;
    OpenAnswers &m_openAnswers;
    std::string m_requestId;
    bool m_isHead = false;
    bool m_isReusable = true;
    /// True after a message was skipped: the next one follows.
    bool m_isAtMessageStart = false;
    /// Bytes received since the start of the request.
    std::size_t m_received = 0;
    /// Interim answers and answers to earlier requests since the start of the request.
    std::uint32_t m_skippedMessages = 0;
    /// Received bytes that have not been parsed yet.
    std::string m_unparsed;
    /// Parser of the answer in progress; null while no request is in flight.
    std::unique_ptr<Parser> m_parser;
    UpstreamReply m_reply;
    std::optional<Duration> m_keepAlive;
};

} // namespace geraniumcart
