#pragma once

#include <string>

namespace knapweedpaddle::routing {

/** Selects the versions of a service's backend servers that may take a call. */
struct VersionSelector
{
  std::string version;  ///< version to compare with; empty matches any
  bool negated = false; ///< whether all versions but this one match

  bool Matches(const std::string& aVersion) const
  {
    return version.empty() || (aVersion == version) != negated;
  }

  /** Returns the text form, such as "v2", or "!v2" if negated. */
  std::string ToString() const { return (negated ? "!" : "") + version; }

  /** Parses the text form. */
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
