// The HTTP parser on valid and invalid messages, at once and in pieces. Guards
// against changed bytes, accepted truncated messages, and request smuggling
// through ambiguous lengths.

#include "knapweedpaddle/http/MessageParser.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using namespace knapweedpaddle::http;
using State = MessageParser::State;

namespace {

/** Feeds bytes in pieces of a size; returns the number of bytes consumed. */
std::size_t
FeedInPieces(MessageParser& aParser,
             const std::string& aBytes,
             std::size_t aPiece)
{
  std::size_t used = 0;
  while (used < aBytes.size() && aParser.CurrentState() == State::kReading) {
    const std::size_t n = std::min(aPiece, aBytes.size() - used);
    const std::size_t step = aParser.Feed(aBytes.data() + used, n);
    used += step;
    if (step < n) {
      break;
    }
  }
  return used;
}

/** Parses a request; returns its error, or kNone. */
ParseError
ParseErrorOf(const std::string& aBytes, ParseLimits aLimits = {})
{
  MessageParser parser(MessageParser::Kind::kRequests, aLimits);
  FeedInPieces(parser, aBytes, aBytes.size());
  return parser.CurrentState() == State::kFailed ? parser.Error()
                                                 : ParseError::kNone;
}

} // namespace

TEST_CASE("a request keeps its target, headers and body byte for byte",
          "[http]")
{
  const std::string bytes =
    "POST /a/b?b=2&a=1&a=3&c&d=%2F+ HTTP/1.1\r\nHost: x.example\r\n"
    "X-One: 1\r\nx-one: 2\r\nContent-Length: 4\r\n\r\nringGET";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    MessageParser parser(MessageParser::Kind::kRequests, {});
    const std::size_t used = FeedInPieces(parser, bytes, piece);
    REQUIRE(parser.CurrentState() == State::kComplete);
    CHECK(bytes.substr(used) == "GET");
    const Request request = parser.TakeRequest();
    CHECK(request.method == "POST");
    CHECK(request.target == "/a/b?b=2&a=1&a=3&c&d=%2F+");
    REQUIRE(request.headers.size() == 4);
    CHECK(request.headers[1].name == "X-One");
    CHECK(request.headers[2].name == "x-one");
    CHECK(request.headers[2].value == "2");
    CHECK(request.body == "ring");
    CHECK(request.keepAlive);
  }
}

TEST_CASE("a chunked body with extensions and trailers is joined", "[http]")
{
  const std::string bytes =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2;x=y\r\nri\r\n2\r\nng\r\n0\r\nX-Trailer: 1\r\n\r\nrest";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    MessageParser parser(MessageParser::Kind::kRequests, {});
    const std::size_t used = FeedInPieces(parser, bytes, piece);
    REQUIRE(parser.CurrentState() == State::kComplete);
    CHECK(bytes.substr(used) == "rest");
    const Request request = parser.TakeRequest();
    CHECK(request.body == "ring");
    CHECK(request.headers.size() == 1);
  }
}

TEST_CASE("requests with an ambiguous or invalid length are rejected", "[http]")
{
  const std::string head = "POST / HTTP/1.1\r\n";
  for (const char* fields :
       { "Content-Length: 4\r\nContent-Length: 5\r\n",
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
         "Content-Length: -1\r\n",
         "Content-Length: 4x\r\n",
         "Content-Length : 4\r\n",
         "Content-Length: 99999999999999999999\r\n" }) {
    INFO(fields);
    CHECK(ParseErrorOf(head + fields + "\r\nring") == ParseError::kMalformed);
  }
  CHECK(ParseErrorOf(head + "Transfer-Encoding: gzip\r\n\r\nring") ==
        ParseError::kUnsupportedEncoding);
}

TEST_CASE("oversized headers and bodies are reported as different errors",
          "[http]")
{
  const ParseLimits limits{ 100, 10 };
  const std::string head = "POST / HTTP/1.1\r\n";
  CHECK(ParseErrorOf(head + "X: " + std::string(200, 'x') + "\r\n\r\n",
                     limits) == ParseError::kHeadersTooLarge);
  CHECK(ParseErrorOf(head + "Content-Length: 11\r\n\r\n", limits) ==
        ParseError::kBodyTooLarge);
  CHECK(ParseErrorOf(head +
                       "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n",
                     limits) == ParseError::kBodyTooLarge);
}

TEST_CASE("a response without a length ends at the end of the stream", "[http]")
{
  const std::string bytes = "HTTP/1.1 200 Fine\r\nX: 1\r\n\r\nhalf";
  MessageParser parser(MessageParser::Kind::kResponses, {});
  FeedInPieces(parser, bytes, 3);
  CHECK(parser.CurrentState() == State::kReading);
  parser.FinishInput();
  REQUIRE(parser.CurrentState() == State::kComplete);
  const Response response = parser.TakeResponse();
  CHECK(response.status == 200);
  CHECK(response.reason == "Fine");
  CHECK(response.body == "half");
  CHECK_FALSE(response.keepAlive);
}

TEST_CASE("a truncated response is never complete", "[http]")
{
  const std::string whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    MessageParser parser(MessageParser::Kind::kResponses, {});
    FeedInPieces(parser, whole.substr(0, cut), 7);
    parser.FinishInput();
    INFO("bytes before the truncation: " << cut);
    CHECK(parser.CurrentState() != State::kComplete);
  }
}

// Guards against bytes that are no HTTP/1 response and are taken for one.
TEST_CASE("a response needs a status of three digits from 100 to 599", "[http]")
{
  const auto stateOf = [](const std::string& aStatusLine, std::size_t aPiece) {
    MessageParser parser(MessageParser::Kind::kResponses, {});
    FeedInPieces(
      parser, aStatusLine + "\r\nContent-Length: 2\r\n\r\nok", aPiece);
    return parser.CurrentState();
  };
  for (const std::size_t piece : { 1, 3, 1000 }) {
    for (const char* valid : { "HTTP/1.1 200 OK",
                               "HTTP/1.0 200 OK",
                               "HTTP/1.1 200",
                               "HTTP/1.1 200 ",
                               "HTTP/1.1 500 Failed",
                               "HTTP/1.1 599 Odd",
                               "\r\nHTTP/1.1 404 Not Found" }) {
      INFO(valid << " in pieces of " << piece);
      CHECK(stateOf(valid, piece) == State::kComplete);
    }
    for (const char* invalid : { "HTTP/1.1 000 Odd",
                                 "HTTP/1.1 099 Odd",
                                 "HTTP/1.1 20 Odd",
                                 "HTTP/1.1 2 Odd",
                                 "HTTP/1.1 0200 Odd",
                                 "HTTP/1.1  200 Odd",
                                 "HTTP/1.1 101 Switching Protocols",
                                 "HTTP/1.1 600 Odd",
                                 "HTTP/1.1 999 Odd",
                                 "HTTP/1.1 1200 Odd",
                                 "HTTP/2.7 200 Odd",
                                 "HTTP/0.9 200 Odd" }) {
      INFO(invalid << " in pieces of " << piece);
      CHECK(stateOf(invalid, piece) == State::kFailed);
    }
  }
}

// Guards against responses that wait for a body that never comes, and against
// coded bodies that are passed on without the header that names their coding.
TEST_CASE("the body of a response ends as its status and framing say", "[http]")
{
  const auto parse = [](const std::string& aBytes, bool aEnds) {
    MessageParser parser(MessageParser::Kind::kResponses, {});
    FeedInPieces(parser, aBytes, 5);
    if (aEnds) {
      parser.FinishInput();
    }
    return parser.CurrentState();
  };
  for (const char* status : { "100 Continue", "204 No Content", "304 Same" }) {
    INFO(status);
    const std::string line = std::string("HTTP/1.1 ") + status + "\r\n";
    CHECK(parse(line + "Content-Length: 20\r\n\r\n", false) ==
          State::kComplete);
    CHECK(parse(line + "\r\n", false) == State::kComplete);
  }
  const std::string line = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
  CHECK(parse(line + "Chunked\r\n\r\n0\r\n\r\n", false) == State::kComplete);
  CHECK(parse(line + "chunked \r\n\r\n0\r\n\r\n", false) == State::kComplete);
  for (const char* coding :
       { "gzip", "identity", "gzip, chunked", "xchunked" }) {
    INFO(coding);
    CHECK(parse(line + coding + "\r\n\r\n0\r\n\r\n", true) == State::kFailed);
  }
}

TEST_CASE("hop-by-hop headers are not forwarded", "[http]")
{
  const std::vector<Header> headers{
    { "Host", "x" },           { "Connection", "close, X-Mine" },
    { "X-Mine", "1" },         { "Keep-Alive", "timeout=5" },
    { "Content-Length", "4" }, { "X-Kept", "2" },
  };
  const auto kept = EndToEndHeaders(headers);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].name == "Host");
  CHECK(kept[1].name == "X-Kept");
}

TEST_CASE("corrupted requests parse the same at once and in pieces", "[http]")
{
  std::mt19937_64 random(7);
  const std::string seed =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nring\r\n0\r\n\r\n";
  for (int n = 0; n < 20'000; ++n) {
    std::string bytes = seed;
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    MessageParser whole(MessageParser::Kind::kRequests, { 256, 64 });
    MessageParser pieces(MessageParser::Kind::kRequests, { 256, 64 });
    FeedInPieces(whole, bytes, bytes.size());
    FeedInPieces(pieces, bytes, 1 + random() % 5);
    REQUIRE(whole.CurrentState() == pieces.CurrentState());
    if (whole.CurrentState() == State::kComplete) {
      CHECK(whole.TakeRequest().body == pieces.TakeRequest().body);
    }
  }
}
