#pragma once

#include <geraniumcart/config.h>

#include <cstddef>

namespace geraniumcart {

/// Bytes of the unfinished answers of one worker. Bounds the memory that they take up together,
/// whatever searchers send.
class OpenAnswers
{
public:
    std::size_t bytes() const { return m_bytes; }

private:
    friend class OpenAnswerBytes;
    std::size_t m_bytes = 0;
};

/// Bytes of the body of one unfinished answer, which count in OpenAnswers for as long as this
/// object exists.
class OpenAnswerBytes
{
public:
    /// @param all must outlive this object
    explicit OpenAnswerBytes(OpenAnswers &all)
        : m_all(all)
    {
    }
    ~OpenAnswerBytes() { m_all.m_bytes -= m_bytes; }
    OpenAnswerBytes(const OpenAnswerBytes &) = delete;
    OpenAnswerBytes &operator=(const OpenAnswerBytes &) = delete;

    /// Counts @p more bytes that have arrived.
    /// @return false if the answer is too large; nothing is counted then
    bool tryAdd(std::size_t more)
    {
        const std::size_t size = m_bytes + more;
        const bool isWorkerFull = m_all.m_bytes + more > MaxOpenAnswersBytes;
        if (size > MaxAnswerBytes || (isWorkerFull && size > SmallAnswerBytes))
            return false;
        m_bytes = size;
        m_all.m_bytes += more;
        return true;
    }

private:
    OpenAnswers &m_all;
    std::size_t m_bytes = 0;
};

} // namespace geraniumcart
