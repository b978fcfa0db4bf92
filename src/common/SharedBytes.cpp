#include "knapweedpaddle/common/SharedBytes.h"

#include "knapweedpaddle/common/HeldBytes.h"

namespace knapweedpaddle {

namespace {

/** A string that counts among the bytes held by this process. */
struct CountedBytes
{
  explicit CountedBytes(std::string aBytes)
    : bytes(std::move(aBytes))
  {
    HeldBytes::Add(bytes.size());
  }
  ~CountedBytes() { HeldBytes::Remove(bytes.size()); }
  CountedBytes(const CountedBytes&) = delete;
  CountedBytes& operator=(const CountedBytes&) = delete;

  const std::string bytes;
};

} // namespace

SharedBytes::SharedBytes(std::string aBytes)
{
  if (!aBytes.empty()) {
    const auto counted =
      std::make_shared<const CountedBytes>(std::move(aBytes));
    mBytes = std::shared_ptr<const std::string>(counted, &counted->bytes);
  }
}

const std::string&
SharedBytes::Get() const
{
  static const std::string kEmpty;
  return mBytes ? *mBytes : kEmpty;
}

} // namespace knapweedpaddle
