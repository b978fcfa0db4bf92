#pragma once

#include <cstdint>

/**
 * A revision orders the states of the store and of its rows. The store numbers
 * its transactions by versions. When it is restored from an older copy, it
 * starts a new history, in which versions are given out again; a revision
 * therefore has the number of the history in its upper bits. Revisions of
 * different histories tell which one is later, but not whether a row changed in
 * between.
 *
 * Thread safety: any thread.
 */
namespace knapweedpaddle::store {

inline constexpr unsigned kVersionBits = 40;
inline constexpr std::uint64_t kMaxVersion = (1ULL << kVersionBits) - 1;

/** Returns a version's revision. @pre aVersion is at most kMaxVersion. */
constexpr std::uint64_t
MakeRevision(std::uint64_t aHistory, std::uint64_t aVersion)
{
  return aHistory << kVersionBits | aVersion;
}

/** Returns the number of the history that a revision belongs to. */
constexpr std::uint64_t
HistoryOf(std::uint64_t aRevision)
{
  return aRevision >> kVersionBits;
}

/** Returns a revision's version, without its history. */
constexpr std::uint64_t
VersionInHistory(std::uint64_t aRevision)
{
  return aRevision & kMaxVersion;
}

} // namespace knapweedpaddle::store
