#pragma once

#include "knapweedpaddle/common/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace knapweedpaddle::http {

/** A connection that a server may end to keep within its limits. */
struct SheddingCandidate
{
  std::size_t heldBytes = 0; ///< of input not parsed and output not read
  Timestamp requestBegan{};  ///< when the present request began to arrive
  Timestamp progressAt{};    ///< when bytes last moved in any direction
};

/**
 * Chooses the connection to end when a server holds too many bytes: of those
 * that have stood still for a while the one that holds most; if there is none,
 * the one whose request began last, so that requests which came before it can
 * be completed. Connections that hold little are left alone.
 *
 * @return the index of the connection, or nothing.
 */
std::optional<std::size_t>
ChooseForMemory(const std::vector<SheddingCandidate>& aCandidates,
                Timestamp aNow);

/** Chooses the connection to end when a server has too many: the one that has
 * stood still for longest. */
std::optional<std::size_t>
ChooseForDescriptors(const std::vector<SheddingCandidate>& aCandidates);

} // namespace knapweedpaddle::http
