#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace knapweedpaddle {

/** Compresses bytes in the zlib format. Thread safety: any thread. */
std::string
Compress(const std::string& aBytes);

/**
 * Decompresses the output of Compress(). Thread safety: any thread.
 *
 * @param aLimit  maximum size of the decompressed data in bytes.
 * @return std::nullopt if the input is not valid zlib data or its decompressed
 *         size exceeds the limit.
 */
std::optional<std::string>
Decompress(const std::string& aBytes, std::size_t aLimit);

} // namespace knapweedpaddle
