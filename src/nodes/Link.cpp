#include "knapweedpaddle/nodes/Link.h"

#include <algorithm>

namespace knapweedpaddle::nodes {

std::string
HeaderValue(const std::vector<LinkHeader>& aHeaders, const std::string& aName)
{
  const auto it = std::ranges::find(aHeaders, aName, &LinkHeader::name);
  return it == aHeaders.end() ? std::string() : it->value;
}

} // namespace knapweedpaddle::nodes
