#pragma once

#include <cstddef>
#include <utility>

namespace knapweedpaddle {

/**
 * Counts the bytes of messages that this process holds: bodies, and input and
 * output that wait in buffers. Whoever reads from peers asks it before it takes
 * more.
 *
 * Thread safety: any thread.
 */
class HeldBytes
{
public:
  static void Add(std::size_t aBytes);
  static void Remove(std::size_t aBytes);

  /** Sets the limit of this process; 0: no limit. */
  static void SetLimit(std::size_t aBytes);

  /** Returns true if some more bytes stay within the limit. */
  static bool HasRoomFor(std::size_t aBytes);

  static std::size_t Total();
};

/** Bytes of one owner that are counted in HeldBytes. Thread safety: one thread.
 */
class HeldBytesShare
{
public:
  HeldBytesShare() = default;
  ~HeldBytesShare() { Set(0); }
  HeldBytesShare(const HeldBytesShare&) = delete;
  HeldBytesShare& operator=(const HeldBytesShare&) = delete;

  /** Sets the number of bytes that the owner holds now. */
  void Set(std::size_t aBytes)
  {
    const std::size_t before = std::exchange(mBytes, aBytes);
    if (aBytes > before) {
      HeldBytes::Add(aBytes - before);
    } else if (before > aBytes) {
      HeldBytes::Remove(before - aBytes);
    }
  }

  std::size_t Get() const { return mBytes; }

private:
  std::size_t mBytes = 0;
};

} // namespace knapweedpaddle
