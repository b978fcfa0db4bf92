#pragma once

#include "knapweedpaddle/common/EnumNames.h"
#include "knapweedpaddle/common/Reason.h"
#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/http/Message.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::http {

enum class ClientError
{
  kNotSent,   ///< no byte of the request left this process
  kBroken,    ///< the connection failed; the server may have run the request
  kMalformed, ///< what came is no whole answer to this request
};

inline constexpr std::array<EnumName<ClientError>, 3> kClientErrorNames{ {
  { ClientError::kNotSent, "not_sent" },
  { ClientError::kBroken, "broken" },
  { ClientError::kMalformed, "malformed" },
} };

using ClientReason = Reason<ClientError>;

struct ClientOptions
{
  Milliseconds connectTimeout{ 300 };
  Milliseconds idleTimeout{ 4000 }; ///< an idle connection is closed after it
  std::string correlationHeader;    ///< which answers echo; empty for none
  std::size_t maxResponseBytes = 64UL * 1024 * 1024;
};

/**
 * HTTP/1.1 client of one server: one request at a time on a connection, never
 * sent twice. A connection that showed anything odd is not used again.
 *
 * Thread safety: the loop's thread only.
 */
class Client
{
public:
  using RequestId = std::uint64_t;
  using Callback =
    std::function<void(std::optional<Response>, const ClientReason&)>;

  Client(runtime::EventLoop& aLoop, ClientOptions aOptions);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /** Sets the server's "IP:port"; idle connections to another one are closed.
   */
  void SetAddress(const std::string& aAddress);

  /**
   * Sends a request. The callback runs once, never from inside Send().
   *
   * @param aMaxIdle  a kept connection that was idle for longer is not used.
   */
  RequestId Send(const Request& aRequest,
                 Milliseconds aMaxIdle,
                 Callback aCallback);

  /** Gives up a request and closes its connection; its callback never runs. */
  void Cancel(RequestId aRequest);

  /** Number of connections opened so far. */
  std::uint64_t ConnectionsOpened() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::http
