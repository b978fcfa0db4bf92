#pragma once

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <cstdio>
#include <string>

namespace knapweedpaddle {

/** Converts ASCII text to lower case. */
inline std::string
LowerCase(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aLetter) {
    return std::tolower(aLetter);
  });
  return aText;
}

/** Formats the two halves of a 128-bit hash as 32 hexadecimal digits. */
inline std::string
HexDigits(std::uint64_t aHigh, std::uint64_t aLow)
{
  std::array<char, 33> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(aHigh),
                static_cast<unsigned long long>(aLow));
  return buf.data();
}

} // namespace knapweedpaddle
