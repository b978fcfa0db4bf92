#pragma once

#include <string>

namespace knapweedpaddle::routing {

/** Which versions of a service's backend servers may take a call. */
struct VersionSelector
{
  std::string version;  ///< empty: any
  bool negated = false; ///< any but this version

  bool Matches(const std::string& aVersion) const
  {
    return version.empty() || (aVersion == version) != negated;
  }

  /** Returns "v2" or "!v2". */
  std::string ToString() const { return (negated ? "!" : "") + version; }

  static VersionSelector Parse(const std::string& aText)
  {
    if (aText.starts_with('!')) {
      return { aText.substr(1), true };
    }
    return { aText, false };
  }

  bool operator==(const VersionSelector&) const = default;
};

} // namespace knapweedpaddle::routing
