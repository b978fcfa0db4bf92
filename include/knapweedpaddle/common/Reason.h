#pragma once

#include <string>
#include <utility>

namespace knapweedpaddle {

/**
 * Why a call that returned std::nullopt failed: a layer's own error code and a
 * message that names the thing concerned. Each layer has its own `Code` enum
 * and turns the reasons of the layer below into it.
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
