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
  kUnsupportedEncoding, ///< Transfer-Encoding other than chunked
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
 * Parses the HTTP messages of a byte stream one after another. It stops at the
 * end of each message and consumes no byte of the next one.
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
    kComplete, ///< a complete message can be taken
    kFailed,   ///< the message is invalid or too large, see Error()
  };

  MessageParser(Kind aKind, ParseLimits aLimits);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /**
   * Starts the next message.
   *
   * @param aHeadRequest  the message is the response to a HEAD request.
   */
  void Restart(ParseLimits aLimits, bool aHeadRequest = false);

  /** Parses bytes. @return the number of bytes consumed, which is less than
   * aSize if the message ended. */
  std::size_t Feed(const char* aData, std::size_t aSize);

  /** Signals the end of the stream, which completes a response that has no
   * length. */
  void FinishInput();

  State CurrentState() const;
  ParseError Error() const;
  bool Started() const;          ///< true once a byte of the message arrived
  bool HeadersComplete() const;  ///< true once all headers have been parsed
  std::size_t BodyBytes() const; ///< bytes of the body received so far
  bool ExpectsContinue() const;  ///< true for "Expect: 100-continue"

  /** @pre CurrentState() is kComplete. */
  Request TakeRequest();
  Response TakeResponse();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::http
