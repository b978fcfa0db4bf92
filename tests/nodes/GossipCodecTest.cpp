#include "knapweedpaddle/nodes/GossipCodec.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::nodes;

// Guards against an age that looks shorter to the receiver, or like the age of
// a configuration that was just confirmed where none ever was.
TEST_CASE("the age of a configuration is kept, also if there is none",
          "[gossip]")
{
  constexpr Milliseconds kLongest{ 0xffffffff };
  GossipMessage message;
  message.kind = GossipKind::kConfigAnswer;
  message.sender = *ParseNodeId("10.0.0.1:7100");
  const auto decodedAge = [&](std::optional<Milliseconds> aAge) {
    message.configAge = aAge;
    const auto decoded = DecodeGossip(EncodeGossip(message, "mesh"), "mesh");
    REQUIRE(decoded.has_value());
    return decoded->configAge;
  };
  CHECK_FALSE(decodedAge(std::nullopt).has_value());
  CHECK(decodedAge(Milliseconds(0)) == Milliseconds(0));
  CHECK(decodedAge(Milliseconds(700)) == Milliseconds(700));
  CHECK(decodedAge(kLongest + Milliseconds(1)) == kLongest);
}
