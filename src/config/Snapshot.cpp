#include "knapweedpaddle/config/Snapshot.h"

#include "knapweedpaddle/common/Text.h"
#include "knapweedpaddle/config/EntryCodec.h"

#include <xxhash.h>

namespace knapweedpaddle::config {

const Entry*
Snapshot::Find(const EntryId& aId) const
{
  const auto it = entries.find(aId);
  return it == entries.end() ? nullptr : &it->second;
}

const MoveEntry*
Snapshot::OpenMoveOf(const std::string& aService) const
{
  for (const auto& [id, entry] : entries) {
    const auto* move = std::get_if<MoveEntry>(&entry);
    if (move && move->service == aService && move->state == MoveState::kOpen) {
      return move;
    }
  }
  return nullptr;
}

std::string
Snapshot::Digest() const
{
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  const auto add = [state](const std::string& aText) {
    XXH3_128bits_update(state, aText.data(), aText.size());
  };
  add(std::to_string(version) + "\n");
  for (const auto& [id, entry] : entries) {
    add(EncodeEntry(entry) + "\n");
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);

  return HexDigits(hash.high64, hash.low64);
}

Change
Difference(const Snapshot& aFrom, const Snapshot& aTo)
{
  Change change;
  change.version = aTo.version;
  change.baseVersion = aFrom.version;
  for (const auto& [id, entry] : aTo.entries) {
    if (const Entry* old = aFrom.Find(id); !old || *old != entry) {
      change.upserts.push_back(entry);
    }
  }
  for (const auto& [id, entry] : aFrom.entries) {
    if (!aTo.entries.contains(id)) {
      change.removals.push_back(id);
    }
  }
  return change;
}

Snapshot
ApplyChange(const Snapshot& aBase, const Change& aChange)
{
  Snapshot next = aBase;
  next.version = aChange.version;
  for (const auto& id : aChange.removals) {
    next.entries.erase(id);
  }
  for (Entry entry : aChange.upserts) {
    HeaderOf(entry).revision = aChange.version;
    next.entries.insert_or_assign(IdOf(entry), std::move(entry));
  }
  return next;
}

} // namespace knapweedpaddle::config
