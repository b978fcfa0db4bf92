#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/http/Message.h"

#include <cstddef>
#include <memory>

namespace knapweedpaddle::http {

enum class ParseError
{
  kNone,
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
  kUnsupportedEncoding, ///< a transfer coding other than chunked
};

inline constexpr std::array<EnumName<ParseError>, 5> kParseErrorNames{ {
  { ParseError::kNone, "none" },
  { ParseError::kMalformed, "malformed" },
  { ParseError::kHeadersTooLarge, "headers_too_large" },
  { ParseError::kBodyTooLarge, "body_too_large" },
  { ParseError::kUnsupportedEncoding, "unsupported_transfer_encoding" },
} };

struct ParseLimits
{
  std::size_t headerBytes = 64UL * 1024;
  std::size_t bodyBytes = 64UL * 1024 * 1024;
};

/**
 * Reads one message after the other from a stream of bytes. It stops at the
 * end of each message, so that no byte of the next one is consumed.
 *
 * Thread safety: one thread.
 */
class MessageParser
{
public:
  enum class Kind
  {
    kRequests,
    kResponses,
  };

  enum class State
  {
    kReading,  ///< more bytes are needed
    kComplete, ///< a whole message is there
    kFailed,
  };

  MessageParser(Kind aKind, ParseLimits aLimits);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /** Begins the next message. @param aToHead  it answers a HEAD request. */
  void Restart(ParseLimits aLimits, bool aToHead = false);

  /** @return the number of bytes consumed, fewer at the end of a message. */
  std::size_t Feed(const char* aData, std::size_t aSize);

  /** Tells that the stream ended in order, which ends some responses. */
  void FinishInput();

  State CurrentState() const;
  ParseError Error() const;
  bool Started() const;         ///< a byte of the message has arrived
  bool HeadersComplete() const; ///< the body is being read
  bool ExpectsContinue() const; ///< the sender waits for status 100

  /** @pre CurrentState() is kComplete. */
  Request TakeRequest();
  Response TakeResponse();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::http
