#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the library. A size limit can be overridden by defining its macro at build time.

#ifndef GERANIUMCART_MAX_BODY_BYTES
#define GERANIUMCART_MAX_BODY_BYTES (1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_ANSWER_BYTES
#define GERANIUMCART_MAX_ANSWER_BYTES (4 * 1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_OPEN_ANSWERS_BYTES
#define GERANIUMCART_MAX_OPEN_ANSWERS_BYTES (32 * 1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_FRAME_BYTES
#define GERANIUMCART_MAX_FRAME_BYTES (8 * 1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_SHARDS
#define GERANIUMCART_MAX_SHARDS 4096
#endif
#ifndef GERANIUMCART_MAX_MEMBERS
#define GERANIUMCART_MAX_MEMBERS 4096
#endif
#ifndef GERANIUMCART_MAX_RULES_BYTES
#define GERANIUMCART_MAX_RULES_BYTES (1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_OBJECT_BYTES
#define GERANIUMCART_MAX_OBJECT_BYTES (1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_HEADER_BYTES
#define GERANIUMCART_MAX_HEADER_BYTES (16 * 1024)
#endif
#ifndef GERANIUMCART_MAX_NAME_BYTES
#define GERANIUMCART_MAX_NAME_BYTES 64
#endif
#ifndef GERANIUMCART_MAX_KEY_BYTES
#define GERANIUMCART_MAX_KEY_BYTES 256
#endif

namespace geraniumcart {

/// Largest body of a caller's request, in bytes.
inline constexpr std::size_t MaxBodyBytes = GERANIUMCART_MAX_BODY_BYTES;
/// Largest body of a searcher's answer, in bytes.
inline constexpr std::size_t MaxAnswerBytes = GERANIUMCART_MAX_ANSWER_BYTES;
/// Bytes that the unfinished answers of one worker may take up together. While they take up more,
/// an answer that is larger than SmallAnswerBytes fails when it grows, so that many searchers that
/// send without end do not use up the process's memory.
inline constexpr std::size_t MaxOpenAnswersBytes = GERANIUMCART_MAX_OPEN_ANSWERS_BYTES;
inline constexpr std::size_t SmallAnswerBytes = 64 * 1024;
/// Largest frame between daemons, in bytes, without its length prefix.
inline constexpr std::size_t MaxFrameBytes = GERANIUMCART_MAX_FRAME_BYTES;
/// Maximum number of shards in one partition map.
inline constexpr std::uint32_t MaxShards = GERANIUMCART_MAX_SHARDS;
/// Maximum number of members that a daemon keeps in its membership table.
inline constexpr std::size_t MaxMembers = GERANIUMCART_MAX_MEMBERS;
/// Largest value in the platform's object store, in bytes.
inline constexpr std::size_t MaxObjectBytes = GERANIUMCART_MAX_OBJECT_BYTES;
/// Largest rules file, in bytes; the platform's object store holds values up to one megabyte.
inline constexpr std::size_t MaxRulesBytes = GERANIUMCART_MAX_RULES_BYTES;
/// Largest header of a caller's request, in bytes.
inline constexpr std::size_t MaxHeaderBytes = GERANIUMCART_MAX_HEADER_BYTES;
/// Longest name of a tenant, class, service or zone, in bytes; names become parts of object keys.
inline constexpr std::size_t MaxNameBytes = GERANIUMCART_MAX_NAME_BYTES;
/// Longest idempotency key or route key, in bytes.
inline constexpr std::size_t MaxKeyBytes = GERANIUMCART_MAX_KEY_BYTES;

/// Deadline of a request that does not state one.
inline constexpr std::chrono::milliseconds DefaultDeadline{1000};
/// Longest deadline that a caller may ask for.
inline constexpr std::chrono::milliseconds MaxDeadline{60000};
/// How long a caller may cache the list of entry addresses. A zone taken out of service must stop
/// receiving new work within a few seconds, which allows for two seconds plus one round trip.
inline constexpr std::chrono::milliseconds EntriesValidFor{2000};
/// Timeout of one call to the object store, which normally answers in milliseconds. A watch may
/// take its own polling time in addition.
inline constexpr std::chrono::milliseconds StoreCallTimeout{2000};
/// A connection is replaced if an answer on it is still missing this long after the request's
/// deadline.
inline constexpr std::chrono::milliseconds SilenceBound{250};
/// A caller's connection is closed if no request arrives on it for this long.
inline constexpr std::chrono::milliseconds CallerIdleTimeout{60000};
/// Maximum time between the first and the last byte of a caller's request.
inline constexpr std::chrono::milliseconds CallerReadTimeout{10000};
/// Maximum time for writing an answer to a caller.
inline constexpr std::chrono::milliseconds CallerWriteTimeout{10000};
/// After the last answer on a connection, data that the caller still sends is read and discarded
/// for at most this long. Closing with unread data would reset the connection and could destroy an
/// answer that the caller has not read yet.
inline constexpr std::chrono::milliseconds CallerLingerTimeout{1000};
/// When a planned stop closes callers' connections, an idle one stays readable for this long, so
/// that a request already in transit to this daemon is still answered.
inline constexpr std::chrono::milliseconds CallerDrainGrace{250};
/// Delay before the next accept after a failed one, for example while the process has no free file
/// descriptor.
inline constexpr std::chrono::milliseconds AcceptRetryDelay{100};

} // namespace geraniumcart
