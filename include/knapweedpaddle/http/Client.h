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
  kNotSent,   ///< no byte of the request was sent
  kBroken,    ///< the connection failed; the server may have run the request
  kMalformed, ///< the received bytes are not a valid response
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
  Milliseconds idleTimeout{ 4000 }; ///< idle connections are closed after this
  /**
   * Request header that the server echoes in its response. A response that
   * carries another value belongs to another request and is dropped. Empty: not
   * checked.
   */
  std::string correlationHeader;
  /** Limit of the bytes received for one request. A response without end must
   * not use up the memory, which is 88 MB on the smallest VMs. */
  std::size_t maxResponseBytes = kMaxResponseBytes;
  /** Limit of the bytes that all requests in progress have received. */
  std::size_t maxBufferedBytes = kMaxResponseBytes;

  static constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
};

/**
 * HTTP/1.1 client of one server with a pool of persistent connections. It sends
 * one request at a time on a connection and never repeats a request. After a
 * response that it did not expect it closes the connection.
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

  /** Sets the server's "IP:port"; a change closes the idle connections. */
  void SetAddress(const std::string& aAddress);

  /**
   * Sends a request. The callback runs once, after Send() has returned.
   *
   * @param aMaxIdle  connections that have been idle for longer are not reused.
   */
  RequestId Send(const Request& aRequest,
                 Milliseconds aMaxIdle,
                 Callback aCallback);

  /** Cancels a request and closes its connection; its callback never runs. */
  void Cancel(RequestId aRequest);

  /** Returns the number of connections opened since construction. */
  std::uint64_t ConnectionsOpened() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::http
