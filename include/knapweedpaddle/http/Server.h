#pragma once

#include "knapweedpaddle/config/Entry.h"
#include "knapweedpaddle/http/Message.h"

#include <functional>
#include <memory>

namespace knapweedpaddle::runtime {
class EventLoop;
}

namespace knapweedpaddle::http {

using ServerLimits = config::CallerLimits;

/**
 * A request and its response. It may outlive its connection; a response that
 * is sent after that is dropped.
 *
 * Thread safety: the loop's thread only.
 */
class Exchange
{
public:
  virtual ~Exchange() = default;

  /** Returns the request; the handler may move its parts away. */
  virtual Request& Message() = 0;

  /** Returns the time at which the request was read completely. */
  virtual Timestamp ReceivedAt() const = 0;

  /** Sends the response; only the first call has an effect. */
  virtual void Respond(Response aResponse) = 0;

  /** Sets a task that runs if the client disconnects before the response. */
  virtual void OnClientDisconnect(std::function<void()> aTask) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/**
 * An HTTP/1.1 server on one event loop. It supports persistent connections,
 * pipelining, chunked bodies, size limits and timeouts.
 *
 * Thread safety: the loop's thread only, or before the loop runs.
 */
class Server
{
public:
  using Handler = std::function<void(const ExchangePtr&)>;

  Server(runtime::EventLoop& aLoop, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Listens on "IP:port". @return false if the address can't be bound. */
  bool Listen(const std::string& aAddress);

  /** Sets the limits. Open connections adopt them after their next request. */
  void SetLimits(const ServerLimits& aLimits);

  /** Sets the most connections that are open at a time; 0: no limit. Beyond it,
   * the connection that has stood still for longest is closed. */
  void SetMaxConnections(std::size_t aCount);

  /** Returns how many connections were ended to keep within limits. */
  std::uint64_t ConnectionsShed() const;

  /** Closes each connection after its next response. */
  void Drain();

  /** Returns the number of requests that have no response yet. */
  std::size_t InFlight() const;

  /** Returns true while responses wait to be sent. */
  bool HasUnsentBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::http
