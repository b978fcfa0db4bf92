#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace knapweedpaddle::routing {

/** Selects the versions of a service's backend servers that may take a call.
 *
 * Thread safety: as for a standard container. */
struct VersionSelector
{
  std::vector<std::string> versions;
  bool negated = true; ///< whether all versions but these match

  /** Returns a selector that matches one version. */
  static VersionSelector Only(std::string aVersion)
  {
    return { { std::move(aVersion) }, false };
  }

  /** Returns a selector that matches all versions but some. */
  static VersionSelector AllBut(std::vector<std::string> aVersions)
  {
    return { std::move(aVersions), true };
  }

  bool Matches(const std::string& aVersion) const
  {
    const bool isListed =
      std::ranges::find(versions, aVersion) != versions.end();
    return isListed != negated;
  }

  /** Returns a text for logs, such as "v2", or "!v2,v3" if negated. */
  std::string ToString() const
  {
    std::string out = negated ? "!" : "";
    for (const auto& it : versions) {
      out += (&it == &versions.front() ? "" : ",") + it;
    }
    return out;
  }

  bool operator==(const VersionSelector&) const = default;
};

} // namespace knapweedpaddle::routing
