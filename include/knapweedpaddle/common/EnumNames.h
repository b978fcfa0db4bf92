#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedpaddle {

/** A value of an enum class and its name; name tables are arrays of these. */
template<typename Enum>
struct EnumName
{
  Enum value;
  std::string_view name;
};

/** Returns the name of a value, or "unknown" if the table does not list it. */
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

/** Returns the value with the given name, or std::nullopt if there is none. */
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
