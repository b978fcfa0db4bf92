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
 * One request and its answer. May outlive its connection; an answer after that
 * is dropped.
 *
 * Thread safety: the loop's thread only.
 */
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual Request& Message() = 0;

  /** When the last byte of the request was read. */
  virtual Timestamp ReceivedAt() const = 0;

  /** Answers; only the first call has an effect. */
  virtual void Respond(Response aResponse) = 0;

  /** Sets what runs when the client leaves before the answer. */
  virtual void OnClientDisconnect(std::function<void()> aTask) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/**
 * An HTTP/1.1 server on one event loop: persistent connections, pipelining,
 * both body framings, limits and timeouts.
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

  /** Listens on "IP:port"; false when the address can't be bound. */
  bool Listen(const std::string& aAddress);

  void SetLimits(const ServerLimits& aLimits);

  /** From now on every answer announces the end of its connection. */
  void Drain();

  /** Number of requests that were read and not answered. */
  std::size_t InFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::http
