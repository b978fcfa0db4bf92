#include "knapweedpaddle/common/TeamAllowance.h"

#include <xxhash.h>

namespace knapweedpaddle {

TeamId
TeamIdOf(const std::string& aName)
{
  return XXH3_64bits(aName.data(), aName.size());
}

} // namespace knapweedpaddle
