#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Limits of the library. Each constant can be overridden by defining its macro at build time.

#ifndef GERANIUMCART_MAX_BODY_BYTES
#define GERANIUMCART_MAX_BODY_BYTES (1024 * 1024)
#endif
#ifndef GERANIUMCART_MAX_ANSWER_BYTES
#define GERANIUMCART_MAX_ANSWER_BYTES (4 * 1024 * 1024)
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
#ifndef GERANIUMCART_MAX_NAME_BYTES
#define GERANIUMCART_MAX_NAME_BYTES 128
#endif

namespace geraniumcart {

/// Largest body of a caller's request, in bytes.
inline constexpr std::size_t MaxBodyBytes = GERANIUMCART_MAX_BODY_BYTES;
/// Largest body of a searcher's answer, in bytes.
inline constexpr std::size_t MaxAnswerBytes = GERANIUMCART_MAX_ANSWER_BYTES;
/// Largest frame between daemons, in bytes, without its length prefix.
inline constexpr std::size_t MaxFrameBytes = GERANIUMCART_MAX_FRAME_BYTES;
/// Most shards in one partition map.
inline constexpr std::uint32_t MaxShards = GERANIUMCART_MAX_SHARDS;
/// Most members a daemon keeps in its membership table.
inline constexpr std::size_t MaxMembers = GERANIUMCART_MAX_MEMBERS;
/// Largest rules file, in bytes; the platform's object store holds values up to one megabyte.
inline constexpr std::size_t MaxRulesBytes = GERANIUMCART_MAX_RULES_BYTES;
/// Longest name in a rules file, in bytes; names become parts of object keys.
inline constexpr std::size_t MaxNameBytes = GERANIUMCART_MAX_NAME_BYTES;

/// Deadline of a request that states none.
inline constexpr std::chrono::milliseconds DefaultDeadline{1000};
/// Longest deadline that a caller may ask for.
inline constexpr std::chrono::milliseconds MaxDeadline{60000};
/// How long a caller may keep the list of entry addresses. Two seconds plus one round trip stay
/// inside the "few seconds" within which a zone taken out must receive no new work.
inline constexpr std::chrono::milliseconds EntriesValidFor{2000};
/// Longest wait for the answer to one call on the object store, which answers in milliseconds.
/// A watch may take its own waiting time on top.
inline constexpr std::chrono::milliseconds StoreCallLimit{2000};
/// A connection that holds an answer back for this long after its deadline is replaced.
inline constexpr std::chrono::milliseconds SilenceBound{250};

} // namespace geraniumcart
