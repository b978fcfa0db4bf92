#include "knapweedpaddle/store/CatalogueRows.h"

#include "knapweedpaddle/common/Text.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace knapweedpaddle::store {

std::string
ChangeKey(std::uint64_t aVersion)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%s%012llu",
                kChangePrefix,
                static_cast<unsigned long long>(aVersion));
  return buf.data();
}

std::string
OperationKey(const std::string& aOperationId)
{
  return "operation/" + aOperationId;
}

std::string
ClaimKey(const std::string& aIdempotencyKey)
{
  const XXH128_hash_t hash =
    XXH3_128bits(aIdempotencyKey.data(), aIdempotencyKey.size());
  return "claim/" + HexDigits(hash.high64, hash.low64);
}

std::string
SnapshotObjectName(std::uint64_t aVersion)
{
  return "snapshot-" + std::to_string(aVersion);
}

std::optional<std::uint64_t>
VersionOf(const Row& aRow)
{
  if (aRow.revision == 0) {
    return 0;
  }
  std::uint64_t version = 0;
  const char* last = aRow.value.data() + aRow.value.size();
  if (const auto [end, ec] = std::from_chars(aRow.value.data(), last, version);
      ec != std::errc() || end != last) {
    return std::nullopt;
  }
  return version;
}

} // namespace knapweedpaddle::store
