#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace knapweedpaddle {

/** Compresses bytes in the zlib format. Thread safety: any thread. */
std::string
Compress(const std::string& aBytes);

/**
 * Undoes Compress().
 *
 * @param aLimit  largest result in bytes.
 * @return nothing for other bytes, or for a larger result.
 */
std::optional<std::string>
Decompress(const std::string& aBytes, std::size_t aLimit);

} // namespace knapweedpaddle
