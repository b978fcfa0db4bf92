#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedpaddle {

/** One row of the name table of an enum class. */
template<typename Enum>
struct EnumName
{
  Enum value;
  std::string_view name;
};

/** Returns the name of a value, or "unknown" for one that the table lacks. */
template<typename Enum, std::size_t N>
constexpr std::string_view
NameOf(const std::array<EnumName<Enum>, N>& aTable, Enum aValue)
{
  for (const auto& it : aTable) {
    if (it.value == aValue) {
      return it.name;
    }
  }
  return "unknown";
}

/** Returns the value with the given name. */
template<typename Enum, std::size_t N>
constexpr std::optional<Enum>
ValueOf(const std::array<EnumName<Enum>, N>& aTable, std::string_view aName)
{
  for (const auto& it : aTable) {
    if (it.name == aName) {
      return it.value;
    }
  }
  return std::nullopt;
}

} // namespace knapweedpaddle
