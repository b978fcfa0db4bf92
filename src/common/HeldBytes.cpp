#include "knapweedpaddle/common/HeldBytes.h"

#include <atomic>

namespace knapweedpaddle {

namespace {

std::atomic<std::size_t> total{ 0 };
std::atomic<std::size_t> limit{ 0 };

} // namespace

void
HeldBytes::Add(std::size_t aBytes)
{
  total += aBytes;
}

void
HeldBytes::Remove(std::size_t aBytes)
{
  total -= aBytes;
}

void
HeldBytes::SetLimit(std::size_t aBytes)
{
  limit = aBytes;
}

bool
HeldBytes::HasRoomFor(std::size_t aBytes)
{
  const std::size_t most = limit;
  return most == 0 || total + aBytes <= most;
}

std::size_t
HeldBytes::Total()
{
  return total;
}

} // namespace knapweedpaddle
