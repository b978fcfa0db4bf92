#pragma once

#include <string>
#include <utility>

namespace knapweedpaddle {

/**
 * Describes a failure: an error code and a message that names the object
 * concerned. Each layer has its own `Code` enum and translates the errors of
 * the layer below into it.
 */
template<typename Code>
struct Reason
{
  Code code{};
  std::string message;

  void Set(Code aCode, std::string aMessage)
  {
    code = aCode;
    message = std::move(aMessage);
  }
};

} // namespace knapweedpaddle
