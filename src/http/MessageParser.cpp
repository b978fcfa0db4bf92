#include "knapweedpaddle/http/MessageParser.h"

#include <algorithm>
#include <cctype>
#include <http_parser.h>

namespace knapweedpaddle::http {

namespace {

/** Returns true for the characters that RFC 9110 allows in header names. */
bool
IsTokenCharacter(char aCharacter)
{
  static constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         kSymbols.find(aCharacter) != std::string_view::npos;
}

bool
IsValidHeader(const Header& aHeader)
{
  static constexpr std::string_view kForbidden("\r\n\0", 3);
  return !aHeader.name.empty() &&
         std::ranges::all_of(aHeader.name, IsTokenCharacter) &&
         aHeader.value.find_first_of(kForbidden) == std::string::npos;
}

std::string
WithoutTrailingSpace(const std::string& aValue)
{
  return aValue.substr(0, aValue.find_last_not_of(" \t") + 1);
}

/** Length of the start of a status line that holds its status, as in
 * "HTTP/1.1 200 ". */
constexpr std::size_t kStatusLineStart = 13;

/** Returns true if a status line is of HTTP/1 and has a status of three digits
 * from 100 to 599. A switch of protocols is never asked for.
 *
 * @param aStart  the first kStatusLineStart characters, or fewer if the line is
 *                shorter.
 */
bool
IsValidStatusLine(std::string_view aStart)
{
  static constexpr std::string_view kProtocol = "HTTP/1.";
  static constexpr std::size_t kStatusAt = 9;
  static constexpr std::size_t kStatusDigits = 3;
  static constexpr std::string_view kSwitchingProtocols = "101";
  if (!aStart.starts_with(kProtocol) ||
      aStart.size() < kStatusAt + kStatusDigits ||
      aStart[kStatusAt - 1] != ' ') {
    return false;
  }
  const std::string_view status = aStart.substr(kStatusAt, kStatusDigits);
  const std::string_view rest = aStart.substr(kStatusAt + kStatusDigits);
  const auto isDigit = [](char aCharacter) {
    return std::isdigit(static_cast<unsigned char>(aCharacter)) != 0;
  };
  return std::ranges::all_of(status, isDigit) && status.front() >= '1' &&
         status.front() <= '5' && status != kSwitchingProtocols &&
         (rest.empty() || rest.front() == ' ');
}

/** Returns true for the statuses of responses that have no body, whatever their
 * headers say (RFC 9112, section 6.3). */
bool
HasNoBody(unsigned aStatus)
{
  constexpr unsigned kFirstFinalStatus = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus < kFirstFinalStatus || aStatus == kNoContent ||
         aStatus == kNotModified;
}

} // namespace

class MessageParser::Impl
{
public:
  Impl(Kind aKind, ParseLimits aLimits)
    : mKind(aKind)
  {
    Restart(aLimits, false);
  }

  void Restart(ParseLimits aLimits, bool aHeadRequest)
  {
    http_parser_init(&mParser,
                     mKind == Kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
    mParser.data = this;
    mLimits = aLimits;
    mHeadRequest = aHeadRequest;
    state = State::kReading;
    error = ParseError::kNone;
    started = false;
    headersComplete = false;
    mHeaderBytes = 0;
    mInValue = false;
    mStatusLine.clear();
    mHasStatusLine = false;
    target.clear();
    reason.clear();
    headers.clear();
    std::string().swap(body); // an assignment would keep its memory
  }

  std::size_t Feed(const char* aData, std::size_t aSize)
  {
    if (state != State::kReading || aSize == 0) {
      return 0;
    }
    started = true;
    if (mKind == Kind::kResponses && !mHasStatusLine) {
      ReadStatusLine({ aData, aSize });
    }
    const std::size_t used =
      http_parser_execute(&mParser, &Settings(), aData, aSize);
    UpdateStateFromParser();
    return used;
  }

  void FinishInput()
  {
    if (state == State::kReading) {
      http_parser_execute(&mParser, &Settings(), nullptr, 0);
      UpdateStateFromParser();
    }
  }

  bool ExpectsContinue() const
  {
    const std::string* expect = FindHeader(headers, "expect");
    return headersComplete && expect &&
           EqualsIgnoreCase(*expect, "100-continue");
  }

  bool KeepAlive() const { return keepAlive; }
  int Status() const { return static_cast<int>(mParser.status_code); }
  std::string Method() const
  {
    return http_method_str(static_cast<http_method>(mParser.method));
  }

  State state = State::kReading;
  ParseError error = ParseError::kNone;
  bool started = false;
  bool headersComplete = false;
  bool keepAlive = true;
  std::string target;
  std::string reason;
  std::vector<Header> headers;
  std::string body;

private:
  static Impl& Self(http_parser* aParser)
  {
    return *static_cast<Impl*>(aParser->data);
  }

  static const http_parser_settings& Settings()
  {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = &Impl::OnTarget;
      settings.on_status = &Impl::OnReason;
      settings.on_header_field = &Impl::OnHeaderName;
      settings.on_header_value = &Impl::OnHeaderValue;
      settings.on_headers_complete = &Impl::OnHeadersComplete;
      settings.on_body = &Impl::OnBody;
      settings.on_message_complete = &Impl::OnMessageComplete;
      return settings;
    }();
    return kSettings;
  }

  void UpdateStateFromParser()
  {
    const auto code = HTTP_PARSER_ERRNO(&mParser);
    if (state == State::kComplete || code == HPE_OK) {
      return;
    }
    state = State::kFailed;
    if (error != ParseError::kNone) {
      return;
    }
    switch (code) {
      case HPE_HEADER_OVERFLOW:
        error = ParseError::kHeadersTooLarge;
        break;
      case HPE_INVALID_TRANSFER_ENCODING:
        error = ParseError::kUnsupportedEncoding;
        break;
      default:
        error = ParseError::kMalformed;
        break;
    }
  }

  /** Keeps the start of the status line, of which http_parser passes on the
   * number alone. */
  void ReadStatusLine(std::string_view aBytes)
  {
    for (const char it : aBytes) {
      const bool isLineEnd = it == '\r' || it == '\n';
      if (isLineEnd && mStatusLine.empty()) {
        continue; // http_parser skips line ends before a message.
      }
      if (isLineEnd || mStatusLine.size() == kStatusLineStart) {
        mHasStatusLine = true;
        return;
      }
      mStatusLine.push_back(it);
    }
  }

  /** Returns an error of a response's head, or kNone. */
  ParseError CheckResponseHead() const
  {
    static constexpr const char* kTransferEncoding = "transfer-encoding";
    if (!IsValidStatusLine(mStatusLine)) {
      return ParseError::kMalformed;
    }
    // The header is not passed on, so a body in another coding would seem to be
    // the plain one.
    const bool isPlain =
      std::ranges::all_of(headers, [](const Header& aHeader) {
        return !EqualsIgnoreCase(aHeader.name, kTransferEncoding) ||
               EqualsIgnoreCase(WithoutTrailingSpace(aHeader.value), "chunked");
      });
    return isPlain ? ParseError::kNone : ParseError::kUnsupportedEncoding;
  }

  /** Records an error. @return the value that makes http_parser stop. */
  int Fail(ParseError aError)
  {
    error = aError;
    return 1;
  }

  /** Counts header bytes. @return non-zero if they exceed the limit. */
  int AddHeaderBytes(std::size_t aSize)
  {
    constexpr std::size_t kSeparatorBytes = 2;
    mHeaderBytes += aSize + kSeparatorBytes;
    return mHeaderBytes > mLimits.headerBytes
             ? Fail(ParseError::kHeadersTooLarge)
             : 0;
  }

  static int OnTarget(http_parser* aParser, const char* aAt, std::size_t aSize)
  {
    Self(aParser).target.append(aAt, aSize);
    return Self(aParser).AddHeaderBytes(aSize);
  }

  static int OnReason(http_parser* aParser, const char* aAt, std::size_t aSize)
  {
    Self(aParser).reason.append(aAt, aSize);
    return 0;
  }

  static int OnHeaderName(http_parser* aParser,
                          const char* aAt,
                          std::size_t aSize)
  {
    Impl& self = Self(aParser);
    if (self.headersComplete) {
      return 0; // Trailer fields are dropped.
    }
    if (self.mInValue || self.headers.empty()) {
      self.headers.emplace_back();
      self.mInValue = false;
    }
    self.headers.back().name.append(aAt, aSize);
    return self.AddHeaderBytes(aSize);
  }

  static int OnHeaderValue(http_parser* aParser,
                           const char* aAt,
                           std::size_t aSize)
  {
    Impl& self = Self(aParser);
    if (self.headersComplete) {
      return 0;
    }
    self.mInValue = true;
    self.headers.back().value.append(aAt, aSize);
    return self.AddHeaderBytes(aSize);
  }

  static int OnHeadersComplete(http_parser* aParser)
  {
    constexpr int kNoBodyFollows = 1;
    Impl& self = Self(aParser);
    self.headersComplete = true;
    // http_parser accepts spaces in header names unless it is built in its
    // strict mode.
    if (!std::ranges::all_of(self.headers, IsValidHeader)) {
      self.Fail(ParseError::kMalformed);
      return -1;
    }
    aParser->upgrade = 0; // Protocol upgrades are not supported.
    if (self.mKind == Kind::kResponses) {
      if (const auto found = self.CheckResponseHead();
          found != ParseError::kNone) {
        self.Fail(found);
        return -1;
      }
      if (self.mHeadRequest || HasNoBody(aParser->status_code)) {
        return kNoBodyFollows;
      }
    }
    if ((aParser->flags & F_CONTENTLENGTH) != 0) {
      if (aParser->content_length > self.mLimits.bodyBytes) {
        self.Fail(ParseError::kBodyTooLarge);
        return -1;
      }
      // Memory that is not written to is not used yet.
      self.body.reserve(static_cast<std::size_t>(aParser->content_length));
    }
    return 0;
  }

  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aSize)
  {
    Impl& self = Self(aParser);
    if (self.body.size() + aSize > self.mLimits.bodyBytes) {
      return self.Fail(ParseError::kBodyTooLarge);
    }
    self.body.append(aAt, aSize);
    return 0;
  }

  static int OnMessageComplete(http_parser* aParser)
  {
    Impl& self = Self(aParser);
    self.state = State::kComplete;
    self.keepAlive = http_should_keep_alive(aParser) != 0;
    http_parser_pause(aParser, 1);
    return 0;
  }

  Kind mKind;
  ParseLimits mLimits;
  http_parser mParser{};
  bool mHeadRequest = false;
  bool mInValue = false;
  std::string mStatusLine;     ///< its first kStatusLineStart characters
  bool mHasStatusLine = false; ///< no more of the status line is kept
  std::size_t mHeaderBytes = 0;
};

MessageParser::MessageParser(Kind aKind, ParseLimits aLimits)
  : mImpl(std::make_unique<Impl>(aKind, aLimits))
{
}

MessageParser::~MessageParser() = default;

void
MessageParser::Restart(ParseLimits aLimits, bool aHeadRequest)
{
  mImpl->Restart(aLimits, aHeadRequest);
}

std::size_t
MessageParser::Feed(const char* aData, std::size_t aSize)
{
  return mImpl->Feed(aData, aSize);
}

void
MessageParser::FinishInput()
{
  mImpl->FinishInput();
}

MessageParser::State
MessageParser::CurrentState() const
{
  return mImpl->state;
}

ParseError
MessageParser::Error() const
{
  return mImpl->error;
}

bool
MessageParser::Started() const
{
  return mImpl->started;
}

bool
MessageParser::HeadersComplete() const
{
  return mImpl->headersComplete;
}

std::size_t
MessageParser::BodyBytes() const
{
  return mImpl->body.size();
}

bool
MessageParser::ExpectsContinue() const
{
  return mImpl->ExpectsContinue();
}

Request
MessageParser::TakeRequest()
{
  return { mImpl->Method(),
           std::move(mImpl->target),
           std::move(mImpl->headers),
           std::move(mImpl->body),
           mImpl->KeepAlive() };
}

Response
MessageParser::TakeResponse()
{
  return { mImpl->Status(),
           std::move(mImpl->reason),
           std::move(mImpl->headers),
           std::move(mImpl->body),
           mImpl->KeepAlive() };
}

} // namespace knapweedpaddle::http
