#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace knapweedpaddle {

/**
 * Bytes that are shared by all copies and never change, such as the body of a
 * request that several tries and buffers hold.
 *
 * Thread safety: as for std::shared_ptr.
 */
class SharedBytes
{
public:
  SharedBytes() = default;
  SharedBytes(std::string aBytes);
  SharedBytes(const char* aBytes)
    : SharedBytes(std::string(aBytes))
  {
  }

  const std::string& Get() const;
  operator const std::string&() const { return Get(); }

  bool IsEmpty() const { return Get().empty(); }
  std::size_t Size() const { return Get().size(); }
  const char* Data() const { return Get().data(); }

  friend bool operator==(const SharedBytes& aFirst, const SharedBytes& aSecond)
  {
    return aFirst.Get() == aSecond.Get();
  }

private:
  std::shared_ptr<const std::string> mBytes; ///< null: empty
};

} // namespace knapweedpaddle
