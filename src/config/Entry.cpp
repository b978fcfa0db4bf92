#include "knapweedpaddle/config/Entry.h"

namespace knapweedpaddle::config {

std::string
EntryId::ToString() const
{
  return std::string(NameOf(kEntryKindNames, kind)) + "/" + name;
}

std::optional<EntryId>
EntryId::Parse(std::string_view aText)
{
  const auto slash = aText.find('/');
  if (slash == std::string_view::npos || slash + 1 == aText.size()) {
    return std::nullopt;
  }
  const auto kind = ValueOf(kEntryKindNames, aText.substr(0, slash));
  if (!kind) {
    return std::nullopt;
  }
  return EntryId{ *kind, std::string(aText.substr(slash + 1)) };
}

EntryId
IdOf(const Entry& aEntry)
{
  return EntryId{ static_cast<EntryKind>(aEntry.index()),
                  HeaderOf(aEntry).name };
}

const EntryHeader&
HeaderOf(const Entry& aEntry)
{
  return std::visit(
    [](const auto& aItem) -> const EntryHeader& { return aItem.header; },
    aEntry);
}

EntryHeader&
HeaderOf(Entry& aEntry)
{
  return std::visit([](auto& aItem) -> EntryHeader& { return aItem.header; },
                    aEntry);
}

} // namespace knapweedpaddle::config
