#include "LinkSession.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

namespace knapweedpaddle::nodes {

namespace {

constexpr std::uint32_t kWindowBytes = 4 * 1024 * 1024;
constexpr std::uint32_t kMaxStreams = 4096;
constexpr std::size_t kMaxHeaderCount = 512;
/** Bodies up to this size are received even if memory is short. */
constexpr std::size_t kSmallBodyBytes = 64UL * 1024;
/** No further frame is made while the socket's buffer holds this many bytes.
 * Frames made later, such as a cancellation or a short request, then go ahead
 * of the rest of a large body. */
constexpr std::size_t kMaxBufferedBytes = 32UL * 1024;
/** Frames are made again once the socket's buffer has drained to this. */
constexpr std::size_t kLowBufferedBytes = 16UL * 1024;
/** Header of a request with the BootTime() at which it was submitted. */
constexpr const char* kSentAtHeader = "sent-us";

nghttp2_nv
MakeField(const std::string& aName, const std::string& aValue)
{
  return nghttp2_nv{
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName.data())),
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data())),
    aName.size(),
    aValue.size(),
    NGHTTP2_NV_FLAG_NONE
  };
}

/** Returns all header fields, pseudo-header fields first as HTTP/2 requires. */
std::vector<nghttp2_nv>
MakeFields(const std::vector<LinkHeader>& aPseudo,
           const std::vector<LinkHeader>& aHeaders)
{
  std::vector<nghttp2_nv> fields;
  for (const auto* list : { &aPseudo, &aHeaders }) {
    for (const auto& it : *list) {
      fields.push_back(MakeField(it.name, it.value));
    }
  }
  return fields;
}

} // namespace

/** Callbacks that nghttp2 and libevent call for a LinkSession. */
struct LinkSessionCallbacks
{
  static LinkSession& Self(void* aSelf)
  {
    return *static_cast<LinkSession*>(aSelf);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* aFrame,
                            void* aSelf)
  {
    auto& self = Self(aSelf);
    if (self.mRole == LinkSession::Role::kServer) {
      const auto [it, isNew] = self.mStreams.try_emplace(aFrame->hd.stream_id);
      if (isNew) {
        it->second.begunAt = std::chrono::steady_clock::now();
      }
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t,
                      void* aSelf)
  {
    LinkSession::Stream* stream = Self(aSelf).FindStream(aFrame->hd.stream_id);
    if (!stream) {
      return 0;
    }
    std::string name(reinterpret_cast<const char*>(aName), aNameSize);
    std::string value(reinterpret_cast<const char*>(aValue), aValueSize);
    if (name == ":path") {
      stream->path = std::move(value);
    } else if (name == ":status") {
      std::from_chars(
        value.data(), value.data() + value.size(), stream->status);
    } else if (name == kSentAtHeader) {
      std::int64_t microseconds = 0;
      std::from_chars(value.data(), value.data() + value.size(), microseconds);
      stream->sentAt = Microseconds(microseconds);
    } else if (name[0] != ':' && stream->headers.size() < kMaxHeaderCount) {
      stream->headers.push_back({ std::move(name), std::move(value) });
    }
    return 0;
  }

  static int OnData(nghttp2_session* aSession,
                    std::uint8_t,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aSize,
                    void* aSelf)
  {
    LinkSession::Stream* stream = Self(aSelf).FindStream(aStream);
    if (!stream) {
      return 0;
    }
    // A server reads only bodies that it has accepted, or small ones.
    const bool isMemoryShort =
      Self(aSelf).mRole == LinkSession::Role::kClient &&
      stream->body.size() >= kSmallBodyBytes && !HeldBytes::HasRoomFor(aSize);
    if (isMemoryShort || stream->body.size() + aSize > kMaxLinkBodyBytes) {
      stream->tooLarge = true;
      nghttp2_submit_rst_stream(
        aSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
      return 0;
    }
    stream->body.append(reinterpret_cast<const char*>(aData), aSize);
    stream->held.Set(stream->body.size());
    if (Self(aSelf).mRole == LinkSession::Role::kServer) {
      // Only the stream's own window, which AcceptBody() widens, holds a body
      // back.
      nghttp2_session_consume_connection(aSession, aSize);
    }
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aSelf)
  {
    auto& self = Self(aSelf);
    if (self.mFailed) {
      return 0;
    }
    switch (aFrame->hd.type) {
      case NGHTTP2_DATA:
      case NGHTTP2_HEADERS:
        if (LinkSession::Stream* stream = self.FindStream(aFrame->hd.stream_id);
            stream && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM)) {
          stream->complete = true;
          self.mHandler.onMessage(aFrame->hd.stream_id);
        } else if (stream && aFrame->hd.type == NGHTTP2_HEADERS &&
                   self.mHandler.onHeaders) {
          self.mHandler.onHeaders(aFrame->hd.stream_id);
        }
        break;
      case NGHTTP2_WINDOW_UPDATE:
        self.OnBodyAccepted(aFrame->hd.stream_id);
        break;
      case NGHTTP2_PING:
        if ((aFrame->hd.flags & NGHTTP2_FLAG_ACK) && self.mHandler.onPong) {
          self.mHandler.onPong();
        }
        break;
      case NGHTTP2_GOAWAY:
        if (self.mHandler.onGoAway) {
          self.mHandler.onGoAway();
        }
        break;
      default:
        break;
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           std::int32_t aStream,
                           std::uint32_t aErrorCode,
                           void* aSelf)
  {
    auto& self = Self(aSelf);
    if (!self.mFailed) {
      self.mHandler.onStreamClosed(aStream, aErrorCode);
    }
    self.mStreams.erase(aStream);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aLength,
                          std::uint32_t* aFlags,
                          nghttp2_data_source*,
                          void* aSelf)
  {
    LinkSession::Stream* stream = Self(aSelf).FindStream(aStream);
    if (!stream) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    if (!stream->outgoingBodyAccepted) {
      return NGHTTP2_ERR_DEFERRED;
    }
    const std::size_t n =
      std::min(aLength, stream->outgoingBody.Size() - stream->outgoingBodySent);
    std::copy_n(
      stream->outgoingBody.Data() + stream->outgoingBodySent, n, aBuffer);
    stream->outgoingBodySent += n;
    if (stream->outgoingBodySent == stream->outgoingBody.Size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
      stream->outgoingEnded = true;
    }
    return static_cast<ssize_t>(n);
  }

  static void OnReadable(bufferevent* aBuffer, void* aSelf)
  {
    auto& self = Self(aSelf);
    if (self.mFailed) {
      return;
    }
    evbuffer* input = bufferevent_get_input(aBuffer);
    const std::size_t size = evbuffer_get_length(input);
    const std::uint8_t* data = evbuffer_pullup(input, -1);
    self.mInsideNghttp2 = true;
    const ssize_t used = nghttp2_session_mem_recv(self.mSession, data, size);
    self.mInsideNghttp2 = false;
    if (used < 0) {
      self.Fail(std::string("HTTP/2 protocol error: ") +
                nghttp2_strerror(static_cast<int>(used)));
      return;
    }
    evbuffer_drain(input, static_cast<std::size_t>(used));
    self.Flush();
  }

  static void OnWritable(bufferevent*, void* aSelf) { Self(aSelf).Flush(); }

  static void OnEvent(bufferevent*, short aWhat, void* aSelf)
  {
    auto& self = Self(aSelf);
    // libevent reports the connection also if its end was read before.
    if (self.mFailed) {
      return;
    }
    if (aWhat & BEV_EVENT_CONNECTED) {
      self.mConnected = true;
      self.Flush();
      if (!self.mFailed && self.mHandler.onConnected) {
        self.mHandler.onConnected();
      }
      return;
    }
    self.Fail((aWhat & BEV_EVENT_EOF) ? "closed by the peer"
                                      : "connection error");
  }
};

LinkSession::LinkSession(Role aRole, bufferevent* aBuffer, Handler aHandler)
  : mRole(aRole)
  , mBuffer(aBuffer)
  , mHandler(std::move(aHandler))
  , mConnected(aRole == Role::kServer)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    callbacks, &LinkSessionCallbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(
    callbacks, &LinkSessionCallbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
    callbacks, &LinkSessionCallbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
    callbacks, &LinkSessionCallbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, &LinkSessionCallbacks::OnStreamClose);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  if (aRole == Role::kServer) {
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_session_server_new2(&mSession, callbacks, this, options);
  } else {
    nghttp2_session_client_new2(&mSession, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);

  const std::array<nghttp2_settings_entry, 2> settings{ {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
      aRole == Role::kServer ? kFreeBodyBytes : kWindowBytes },
  } };
  nghttp2_submit_settings(
    mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, kWindowBytes);

  bufferevent_setcb(mBuffer,
                    &LinkSessionCallbacks::OnReadable,
                    &LinkSessionCallbacks::OnWritable,
                    &LinkSessionCallbacks::OnEvent,
                    this);
  bufferevent_setwatermark(mBuffer, EV_WRITE, kLowBufferedBytes, 0);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  Flush();
}

LinkSession::~LinkSession()
{
  nghttp2_session_del(mSession);
  bufferevent_free(mBuffer);
}

std::int32_t
LinkSession::SubmitRequest(const LinkRequest& aRequest)
{
  const std::vector<LinkHeader> pseudo{ { ":method", "POST" },
                                        { ":scheme", "http" },
                                        { ":authority", "node" },
                                        { ":path", aRequest.path } };
  auto fields = MakeFields(pseudo, aRequest.headers);
  const std::string sentAtName = kSentAtHeader;
  const std::string sentAt = std::to_string(BootTime().count());
  // No two requests share this value, so it isn't kept for compression.
  fields.push_back(MakeField(sentAtName, sentAt));
  fields.back().flags |= NGHTTP2_NV_FLAG_NO_INDEX;
  nghttp2_data_provider provider{};
  provider.read_callback = &LinkSessionCallbacks::ReadBody;
  const std::int32_t stream = nghttp2_submit_request(
    mSession, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (stream < 0) {
    return -1;
  }
  Stream& state = mStreams[stream];
  state.outgoingBody = aRequest.body;
  state.outgoingBodyAccepted = aRequest.body.Size() <= kFreeBodyBytes;
  Flush();
  return stream;
}

void
LinkSession::SubmitResponse(std::int32_t aStream, const LinkResponse& aResponse)
{
  Stream* stream = FindStream(aStream);
  if (!stream || mFailed) {
    return;
  }
  const std::vector<LinkHeader> pseudo{ { ":status",
                                          std::to_string(aResponse.status) } };
  const auto fields = MakeFields(pseudo, aResponse.headers);
  stream->outgoingBody = aResponse.body;
  nghttp2_data_provider provider{};
  provider.read_callback = &LinkSessionCallbacks::ReadBody;
  nghttp2_submit_response(
    mSession, aStream, fields.data(), fields.size(), &provider);
  Flush();
}

void
LinkSession::AcceptBody(std::int32_t aStream)
{
  if (!mFailed && FindStream(aStream)) {
    nghttp2_session_set_local_window_size(
      mSession, NGHTTP2_FLAG_NONE, aStream, kMaxLinkBodyBytes);
    Flush();
  }
}

void
LinkSession::OnBodyAccepted(std::int32_t aStream)
{
  if (Stream* stream = FindStream(aStream);
      stream && !stream->outgoingBodyAccepted) {
    stream->outgoingBodyAccepted = true;
    nghttp2_session_resume_data(mSession, aStream);
  }
}

void
LinkSession::ResetStream(std::int32_t aStream, std::uint32_t aErrorCode)
{
  nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, aStream, aErrorCode);
  Flush();
}

void
LinkSession::SendPing()
{
  nghttp2_submit_ping(mSession, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
}

void
LinkSession::SendGoAway()
{
  const std::int32_t last = nghttp2_session_get_last_proc_stream_id(mSession);
  nghttp2_submit_goaway(
    mSession, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
  Flush();
}

LinkSession::Stream*
LinkSession::FindStream(std::int32_t aStream)
{
  const auto it = mStreams.find(aStream);
  return it == mStreams.end() ? nullptr : &it->second;
}

bool
LinkSession::MaySendWhole(std::int32_t aStream) const
{
  const auto it = mStreams.find(aStream);
  return it == mStreams.end() || it->second.outgoingEnded;
}

bool
LinkSession::HasUnsentBytes() const
{
  return !mFailed &&
         (BufferedBytes() > 0 || nghttp2_session_want_write(mSession) != 0);
}

std::size_t
LinkSession::BufferedBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(mBuffer));
}

void
LinkSession::Flush()
{
  // nghttp2 must not be called again from its own callbacks; OnReadable() and
  // the loop below send what the callbacks submitted. No frame is made before
  // the connection is established, so that a request that is cancelled by then
  // is never sent.
  if (mFailed || mInsideNghttp2 || !mConnected) {
    return;
  }
  mInsideNghttp2 = true;
  const std::uint8_t* data = nullptr;
  while (BufferedBytes() < kMaxBufferedBytes) {
    const ssize_t size = nghttp2_session_mem_send(mSession, &data);
    if (size <= 0) {
      break;
    }
    bufferevent_write(mBuffer, data, static_cast<std::size_t>(size));
  }
  mInsideNghttp2 = false;
  // After a GOAWAY the client closes the connection: the server's last response
  // may still be in its buffer.
  if (mRole == Role::kClient && !nghttp2_session_want_read(mSession) &&
      !nghttp2_session_want_write(mSession)) {
    Fail("HTTP/2 session ended");
  }
}

void
LinkSession::Fail(const std::string& aWhy)
{
  if (!mFailed) {
    mFailed = true;
    // The owner may destroy this session later; until then no further callback
    // may run.
    bufferevent_disable(mBuffer, EV_READ | EV_WRITE);
    mHandler.onClosed(aWhy);
  }
}

} // namespace knapweedpaddle::nodes
