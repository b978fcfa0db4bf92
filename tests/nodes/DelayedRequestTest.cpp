// Requests that the network holds for a while, over real sockets. Guards
// against calls that are sent to a backend server long after their callers have
// left.

#include "fakes/ScriptedServer.h"
#include "knapweedpaddle/nodes/LinkClient.h"
#include "knapweedpaddle/nodes/LinkServer.h"

#include <deque>
#include <poll.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::nodes;
using fakes::ListenOnLoopback;
using fakes::RunUntil;
using runtime::EventLoop;

namespace {

/** Forwards one connection on an event loop. While it holds requests it keeps
 * what the client sends; later it forwards that in the same pieces, one at each
 * tick. */
class HoldingRelay
{
public:
  HoldingRelay(EventLoop& aLoop, std::uint16_t aTarget)
    : mLoop(aLoop)
  {
    mListener = ListenOnLoopback(address);
    fcntl(mListener, F_SETFL, O_NONBLOCK);
    mServer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(aTarget);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(mServer,
                    reinterpret_cast<sockaddr*>(&target),
                    sizeof(target)) == 0);
    mTimer = mLoop.RunEvery(Milliseconds(2), [this] { OnTick(); });
  }

  ~HoldingRelay()
  {
    mLoop.Cancel(mTimer);
    close(mListener);
    close(mServer);
    if (mClient >= 0) {
      close(mClient);
    }
  }

  HoldingRelay(const HoldingRelay&) = delete;
  HoldingRelay& operator=(const HoldingRelay&) = delete;

  /** Holds what the client sends, or forwards it again. */
  void SetHolding(bool aHolding) { mHolding = aHolding; }

  std::string address;

private:
  static std::string Receive(int aSocket)
  {
    std::string buf(65536, '\0');
    const ssize_t n = recv(aSocket, buf.data(), buf.size(), MSG_DONTWAIT);
    buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return buf;
  }

  static void Send(int aSocket, const std::string& aBytes)
  {
    send(aSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  void OnTick()
  {
    if (mClient < 0 && (mClient = accept(mListener, nullptr, nullptr)) < 0) {
      return;
    }
    if (std::string bytes = Receive(mClient); !bytes.empty()) {
      mHeld.push_back(std::move(bytes));
    }
    if (!mHolding && !mHeld.empty()) {
      Send(mServer, mHeld.front());
      mHeld.pop_front();
    }
    Send(mClient, Receive(mServer));
  }

  EventLoop& mLoop;
  int mListener = -1;
  int mClient = -1;
  int mServer = -1;
  bool mHolding = false;
  std::deque<std::string> mHeld;
  EventLoop::TimerId mTimer = 0;
};

LinkRequest
CallRequest(const std::string& aPath)
{
  LinkRequest request;
  request.path = aPath;
  request.timeout = Milliseconds(2500);
  return request;
}

/** A server behind a relay, with a client whose link is established. */
struct HeldLink
{
  HeldLink()
    : server(loop,
             [this](const LinkRequest& aRequest,
                    const LinkResponderPtr& aResponder) {
               handled.push_back(aRequest);
               aResponder->Respond({ 200, {}, "" });
             })
    , relay(loop, server.Listen("127.0.0.1", 0).value())
    , client(loop, {})
  {
    Send("/first");
    REQUIRE(RunUntil(loop, [this] { return responses == 1; }));
  }

  LinkClient::RequestId Send(const std::string& aPath)
  {
    return client.Send(
      relay.address,
      CallRequest(aPath),
      [this](const std::optional<LinkResponse>& aResponse, const LinkReason&) {
        responses += aResponse ? 1 : 0;
      });
  }

  /** Runs the loop for a time. */
  void Run(Milliseconds aTime)
  {
    const Timestamp until = std::chrono::steady_clock::now() + aTime;
    REQUIRE(RunUntil(
      loop, [until] { return std::chrono::steady_clock::now() >= until; }));
  }

  EventLoop loop;
  std::vector<LinkRequest> handled;
  int responses = 0;
  LinkServer server;
  HoldingRelay relay;
  LinkClient client;
};

} // namespace

TEST_CASE("a call that the network held is not run after its cancellation",
          "[links]")
{
  HeldLink link;
  link.relay.SetHolding(true);
  const auto abandoned = link.Send("/abandoned");
  link.Run(Milliseconds(50));
  link.client.Cancel(abandoned);
  link.Run(Milliseconds(450));
  link.Send("/wanted");
  link.Run(Milliseconds(20));
  link.relay.SetHolding(false);
  REQUIRE(RunUntil(link.loop, [&] { return link.responses == 2; }));
  REQUIRE(link.handled.size() == 2);
  CHECK(link.handled[1].path == "/wanted");
}

TEST_CASE("a call that the network held runs once with the delay it had",
          "[links]")
{
  HeldLink link;
  link.relay.SetHolding(true);
  link.Send("/held");
  link.Run(Milliseconds(500));
  link.relay.SetHolding(false);
  REQUIRE(RunUntil(link.loop, [&] { return link.responses == 2; }));
  link.Run(Milliseconds(50));
  REQUIRE(link.handled.size() == 2);
  CHECK(link.handled[1].delay >= Milliseconds(450));
  link.Send("/next");
  REQUIRE(RunUntil(link.loop, [&] { return link.responses == 3; }));
  CHECK(link.handled[2].delay < Milliseconds(250));
}
