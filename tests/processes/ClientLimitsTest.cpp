// Real nodes with callers that keep to no limits: large bodies that never end,
// bodies beyond the limit, and requests whose answers nobody reads. A node must
// live on within the memory and the descriptors of its VM, and answer others.
// What is checked depends neither on time nor on how many requests are served.

#include "Processes.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/runtime/EventLoop.h"

#include <absl/strings/escaping.h>
#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace knapweedpaddle;
using namespace knapweedpaddle::processes;

namespace {

using Json = nlohmann::json;

constexpr int kBasePort = 18'600;
/** Limits of the VM of each node, as its settings name them. */
constexpr std::size_t kMemoryMb = 96;
constexpr std::size_t kMaxDescriptors = 400;
/** The largest body that the configuration allows. */
constexpr std::size_t kMaxBody = 12UL * 1024 * 1024;
constexpr std::size_t kBigAnswer = 16UL * 1024;
/** Time in which a caller that is not answered gives up sending. */
constexpr int kStallMs = 1500;

/** A caller's connection, written to as far as the node reads. */
class RawConnection
{
public:
  explicit RawConnection(int aPort)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mIsOpen = connect(mSocket,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
    fcntl(mSocket, F_SETFL, O_NONBLOCK);
  }

  ~RawConnection() { close(mSocket); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /** Sends a part of some bytes; returns how many. */
  std::size_t WriteSome(const char* aData, std::size_t aSize)
  {
    const ssize_t n = send(mSocket, aData, aSize, MSG_NOSIGNAL);
    mIsOpen &= n >= 0 || errno == EAGAIN;
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }

  bool IsOpen() const { return mIsOpen; }

private:
  int mSocket;
  bool mIsOpen = false;
};

/** Bytes that several callers send at the same time, each on a connection. */
struct Crowd
{
  struct Sender
  {
    std::unique_ptr<RawConnection> connection;
    std::string head;
    std::size_t bodyLeft = 0; ///< bytes of a body still to be sent
    bool isChunked = false;
  };

  void Add(int aPort, std::string aHead, std::size_t aBody, bool aChunked)
  {
    senders.push_back({ std::make_unique<RawConnection>(aPort),
                        std::move(aHead),
                        aBody,
                        aChunked });
  }

  /** Sends until everything is sent, or nothing is taken for a while. */
  void Send()
  {
    // Chunks of the same size as the buffer of plain bodies.
    static const std::string kPlain(64UL * 1024, 'x');
    static const std::string kChunk = "10000\r\n" + kPlain + "\r\n";
    auto progressAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - progressAt <
           Milliseconds(kStallMs)) {
      bool isAllSent = true;
      for (auto& it : senders) {
        if (!it.connection->IsOpen() || (it.head.empty() && it.bodyLeft == 0)) {
          continue;
        }
        isAllSent = false;
        if (it.head.empty()) {
          it.head = it.isChunked
                      ? kChunk
                      : kPlain.substr(0, std::min(it.bodyLeft, kPlain.size()));
          it.bodyLeft -= std::min(it.bodyLeft, kPlain.size());
        }
        const std::size_t n = it.connection->WriteSome(
          it.head.data(), std::min(it.head.size(), bytesPerTurn));
        it.head.erase(0, n);
        if (n > 0) {
          progressAt = std::chrono::steady_clock::now();
        }
      }
      if (isAllSent) {
        return;
      }
      std::this_thread::sleep_for(pause);
    }
  }

  std::vector<Sender> senders;
  std::size_t bytesPerTurn = 64UL * 1024; ///< of each sender
  Microseconds pause{ 200 };              ///< between two turns
};

std::string
Head(const std::string& aMethod,
     const std::string& aPath,
     const std::string& aFraming)
{
  static std::atomic<int> count{ 0 };
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: svc.example\r\n" +
         "Request-Id: r" + std::to_string(++count) +
         "\r\nDeadline-Ms: 20000\r\n" + aFraming + "\r\n";
}

std::string
Length(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n";
}

/** The backend server of one service, in this process. */
class Backend
{
public:
  explicit Backend(const std::string& aAddress)
    : mServer(mLoop, [](const http::ExchangePtr& aExchange) {
      http::Response response;
      response.status = 200;
      response.headers = { { "Server-Stamp", "s" } };
      if (const std::string* id =
            http::FindHeader(aExchange->Message().headers, "request-id")) {
        response.headers.push_back({ "Request-Id", *id });
      }
      const std::string target = aExchange->Message().target;
      response.body = std::string(target == "/a/huge"  ? kMaxBody
                                  : target == "/a/big" ? kBigAnswer
                                                       : 2,
                                  'y');
      aExchange->Respond(std::move(response));
    })
  {
    REQUIRE(mServer.Listen(aAddress));
    mThread = std::thread([this] { mLoop.Run(); });
  }

  ~Backend()
  {
    mLoop.Stop();
    mThread.join();
  }

private:
  runtime::EventLoop mLoop;
  http::Server mServer;
  std::thread mThread;
};

/**
 * A faulty backend server. It answers requests for /a/b and reads the bodies of
 * POST requests without an answer. To all others it sends bytes until the node
 * closes the connection: the start of an answer, and then a part that it
 * repeats.
 */
class EndlessBackend
{
public:
  EndlessBackend(int aPort, std::string aStart, const std::string& aPart)
    : mListener(socket(AF_INET, SOCK_STREAM, 0))
    , mStart(std::move(aStart))
  {
    while (mBlock.size() < kBlockBytes) {
      mBlock += aPart;
    }
    const int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(mListener,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(mListener, kBacklog) == 0);
    mThread = std::thread([this] { Accept(); });
  }

  ~EndlessBackend()
  {
    mStopped = true;
    mThread.join();
    close(mListener);
  }
  EndlessBackend(const EndlessBackend&) = delete;
  EndlessBackend& operator=(const EndlessBackend&) = delete;

  /** Connections that got bytes without end and were closed by the node. */
  int Ended() const { return mEnded; }

private:
  static constexpr std::size_t kBlockBytes = 64UL * 1024;
  static constexpr int kBacklog = 64;

  void Accept()
  {
    std::vector<std::thread> threads;
    while (!mStopped) {
      pollfd entry{ mListener, POLLIN, 0 };
      if (poll(&entry, 1, kPollMs) > 0) {
        threads.emplace_back([this, fd = accept(mListener, nullptr, nullptr)] {
          Serve(fd);
          close(fd);
        });
      }
    }
    for (auto& it : threads) {
      it.join();
    }
  }

  void Serve(int aSocket)
  {
    const timeval timeout{ 0, kPollMicroseconds };
    setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(aSocket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    std::string request;
    std::string buf(kBlockBytes, '\0');
    while (!mStopped) {
      const ssize_t n = recv(aSocket, buf.data(), buf.size(), 0);
      if (n == 0 || (n < 0 && errno != EAGAIN)) {
        return;
      }
      request.append(buf, 0, n > 0 ? static_cast<std::size_t>(n) : 0);
      if (request.starts_with("POST ")) {
        request.resize(request.find(' ') + 1); // The rest is not needed.
        continue;
      }
      if (!request.ends_with("\r\n\r\n")) {
        continue;
      }
      if (!request.starts_with("GET /a/b ")) {
        SendWithoutEnd(aSocket);
        return;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" +
                                 IdLine(request) +
                                 "Content-Length: 2\r\n\r\nyy";
      send(aSocket, answer.data(), answer.size(), MSG_NOSIGNAL);
      request.clear();
    }
  }

  void SendWithoutEnd(int aSocket)
  {
    send(aSocket, mStart.data(), mStart.size(), MSG_NOSIGNAL);
    while (!mStopped) {
      if (send(aSocket, mBlock.data(), mBlock.size(), MSG_NOSIGNAL) < 0 &&
          errno != EAGAIN) {
        ++mEnded;
        return;
      }
    }
  }

  /** Returns the line of a request that names its id. */
  static std::string IdLine(const std::string& aRequest)
  {
    static constexpr const char* kName = "Request-Id: ";
    const auto at = aRequest.find(kName);
    return at == std::string::npos
             ? ""
             : aRequest.substr(at, aRequest.find('\n', at) + 1 - at);
  }

  static constexpr int kPollMs = 100;
  static constexpr int kPollMicroseconds = 100'000;

  int mListener;
  std::string mStart;
  std::string mBlock;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mEnded{ 0 };
  std::thread mThread;
};

/** Two nodes: callers reach the first one, the second one has the server. */
class Fixture
{
public:
  static constexpr int kBackendPort = kBasePort + 35;

  /** @param aBackend  the server on kBackendPort; null: an ordinary one. */
  explicit Fixture(std::shared_ptr<void> aBackend = nullptr)
    : mFolder(std::filesystem::temp_directory_path() /
              ("client-limits-" + std::to_string(getpid())))
    , mBackend(aBackend ? std::move(aBackend)
                        : std::make_shared<Backend>(Address(kBackendPort)))
  {
    std::filesystem::create_directories(mFolder);
    mPlatform = std::make_unique<Process>(
      std::vector<std::string>{ Program("tests/platform_standin"),
                                "--port=" + std::to_string(kBasePort) },
      mFolder / "platform.log");
    WriteConfig();
    StartNode(ingress, kBasePort + 10, "front");
    StartNode(owner, kBasePort + 30, "svc");
    mReports = std::thread([this] { SendReports(); });
    REQUIRE(IsAnswered());
  }

  ~Fixture()
  {
    mStopped = true;
    mReports.join();
    ingress.process.reset();
    owner.process.reset();
    mPlatform.reset();
    std::filesystem::remove_all(mFolder);
  }

  /** Sends ordinary requests until one of them is answered with success. */
  bool IsAnswered() const
  {
    for (int n = 0; n < 60; ++n) {
      const Response response = SendRequest(
        "GET",
        "http://" + Address(CallerPort()) + "/a/b",
        "",
        { "Host: svc.example", "Request-Id: o" + std::to_string(n) });
      if (response.status == 200) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds(500));
    }
    return false;
  }

  void CheckNodes() const
  {
    for (const Node* it : { &ingress, &owner }) {
      INFO("node of service " << it->service);
      REQUIRE(kill(it->process->Id(), 0) == 0);
      CHECK(it->process->Wait(0) == -2);
      CHECK(PeakMemoryMb(*it) <= kMemoryMb);
      CHECK(Descriptors(*it) <= kMaxDescriptors);
    }
  }

  int CallerPort() const { return ingress.basePort + 1; }

private:
  struct Node
  {
    std::string service;
    int basePort = 0;
    std::unique_ptr<Process> process;
  };

  static std::string Program(const std::string& aName)
  {
    return std::string(KNAPWEED_BUILD_DIR) + "/" + aName;
  }

  static std::string Address(int aPort)
  {
    return "127.0.0.1:" + std::to_string(aPort);
  }

  static std::size_t PeakMemoryMb(const Node& aNode)
  {
    std::ifstream file("/proc/" + std::to_string(aNode.process->Id()) +
                       "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
      }
    }
    return kMemoryMb + 1;
  }

  static std::size_t Descriptors(const Node& aNode)
  {
    return static_cast<std::size_t>(std::ranges::distance(
      std::filesystem::directory_iterator(
        "/proc/" + std::to_string(aNode.process->Id()) + "/fd"),
      std::filesystem::directory_iterator()));
  }

  void WriteConfig() const
  {
    const Json config{ { "version", "r1" },
                       { "routes",
                         { { "r",
                             { { "host", "svc.example" },
                               { "prefix", "/a/" },
                               { "kind", "safe" },
                               { "timeout-s", 20 },
                               { "target-latency-s", 10 },
                               { "service", "svc" },
                               { "max-attempts", 2 } } } } },
                       { "services",
                         { { "svc", Json::object() },
                           { "front", Json::object() } } },
                       { "limits",
                         { { "max-header-bytes", 16384 },
                           { "max-body-bytes", kMaxBody },
                           { "header-timeout-s", 60 },
                           { "idle-timeout-s", 60 } } } };
    const Json transaction{
      { "precondition", Json::array() },
      { "put",
        Json::array({ { { "table", "op" },
                        { "part", "" },
                        { "key", "config" },
                        { "value", absl::Base64Escape(config.dump()) } } }) },
      { "remove", Json::array() }
    };
    for (int n = 0; n < 50; ++n) {
      if (SendRequest("POST",
                      "http://" + Address(kBasePort) + "/-/rows-tx",
                      transaction.dump())
            .status == 200) {
        return;
      }
      std::this_thread::sleep_for(Milliseconds(100));
    }
    FAIL("the platform stand-in does not answer");
  }

  void StartNode(Node& aNode, int aBasePort, const std::string& aService)
  {
    aNode.service = aService;
    aNode.basePort = aBasePort;
    const Json settings{
      { "node", "node-" + aService },
      { "ip", "127.0.0.1" },
      { "zone", "zone-a" },
      { "zones", { { "zone-a", "region" } } },
      { "listen",
        { { "outbound", Address(aBasePort + 1) },
          { "ready", Address(aBasePort + 2) },
          { "control", Address(aBasePort + 3) } } },
      { "port-range", Json::array({ aBasePort + 6, aBasePort + 9 }) },
      { "limits",
        { { "memory-mb", kMemoryMb }, { "max-fds", kMaxDescriptors } } },
      { "bounds", Json::object() },
      { "heartbeat-s", 1 },
      { "app-addr", Address(aBasePort + 5) },
      { "service", aService },
      { "platform", { { "address", Address(kBasePort) } } }
    };
    const std::string path = mFolder / (aService + ".json");
    std::ofstream(path) << settings.dump();
    setenv("KNAPWEEDPADDLE_SETTINGS", path.c_str(), 1);
    aNode.process = std::make_unique<Process>(
      std::vector<std::string>{ Program("platform/knapweed_sidecar") },
      mFolder / (aService + ".log"));
  }

  void SendReports()
  {
    for (int n = 1; !mStopped; ++n) {
      const Json report{ { "service", "svc" },
                         { "address", Address(owner.basePort + 5) },
                         { "zone", "zone-a" },
                         { "version", "v1" },
                         { "slots", 8 },
                         { "state", "ready" },
                         { "warmup-left-s", 0 },
                         { "seq", n },
                         { "born", 1'790'000'000'000 } };
      SendRequest("POST",
                  "http://" + Address(owner.basePort + 3) +
                    "/-/rpc?call=instances.heartbeat&of=i-1",
                  report.dump());
      std::this_thread::sleep_for(Milliseconds(500));
    }
  }

  std::filesystem::path mFolder;
  std::shared_ptr<void> mBackend;
  std::unique_ptr<Process> mPlatform;
  std::atomic<bool> mStopped{ false };
  std::thread mReports;

public:
  Node ingress;
  Node owner;
};

} // namespace

// Guards against nodes that hold a body for each of many callers.
TEST_CASE("large bodies that stop short of their end, on open connections",
          "[limits]")
{
  Fixture it;
  Crowd crowd;
  for (int n = 0; n < 24; ++n) {
    crowd.Add(it.CallerPort(),
              Head("POST", "/a/b", Length(kMaxBody)),
              kMaxBody - 1000,
              false);
  }
  crowd.Send();
  CHECK(it.IsAnswered());
  it.CheckNodes();
}

TEST_CASE("many whole large bodies at once", "[limits]")
{
  Fixture it;
  Crowd crowd;
  for (int n = 0; n < 24; ++n) {
    crowd.Add(
      it.CallerPort(), Head("POST", "/a/b", Length(kMaxBody)), kMaxBody, false);
  }
  crowd.Send();
  CHECK(it.IsAnswered());
  it.CheckNodes();
}

TEST_CASE("bodies far beyond the limit, announced or sent in chunks",
          "[limits]")
{
  Fixture it;
  Crowd crowd;
  constexpr std::size_t kFarBeyond = 5 * kMaxBody;
  for (int n = 0; n < 12; ++n) {
    crowd.Add(it.CallerPort(),
              Head("POST", "/a/b", Length(kFarBeyond)),
              kFarBeyond,
              false);
    crowd.Add(it.CallerPort(),
              Head("POST", "/a/b", "Transfer-Encoding: chunked\r\n"),
              kFarBeyond,
              true);
  }
  crowd.Send();
  CHECK(it.IsAnswered());
  it.CheckNodes();
}

// Guards against answers that pile up for callers that don't read them.
TEST_CASE("many requests sent ahead on few connections, answers unread",
          "[limits]")
{
  Fixture it;
  Crowd crowd;
  std::string requests;
  for (int n = 0; n < 8000; ++n) {
    requests += Head("GET", "/a/big", "");
  }
  for (int n = 0; n < 4; ++n) {
    crowd.Add(it.CallerPort(), requests, 0, false);
  }
  // Slowly enough that the node answers most requests before the next ones.
  crowd.bytesPerTurn = 400;
  crowd.pause = Milliseconds(2);
  crowd.Send();
  CHECK(it.IsAnswered());
  it.CheckNodes();
}

TEST_CASE("more open connections than the VM has descriptors", "[limits]")
{
  Fixture it;
  Crowd crowd;
  for (std::size_t n = 0; n < 2 * kMaxDescriptors; ++n) {
    crowd.Add(it.CallerPort(), "GET /a/b HTTP/1.1\r\n", 0, false);
  }
  crowd.Send();
  CHECK(it.IsAnswered());
  it.CheckNodes();
}

// Guards against limits that callers within the pages' limits would meet.
TEST_CASE("a single body of the largest size is served", "[limits]")
{
  Fixture it;
  const Response response =
    SendRequest("POST",
                "http://127.0.0.1:" + std::to_string(it.CallerPort()) + "/a/b",
                std::string(kMaxBody, 'z'),
                { "Host: svc.example", "Request-Id: whole" },
                20'000);
  CHECK(response.status == 200);
  it.CheckNodes();
}

// Guards against nodes that keep what a faulty server sends without end, run
// out of memory and take the requests of all other callers with them.
TEST_CASE("a server that sends bytes without end ends no node", "[limits]")
{
  struct Case
  {
    const char* name;
    std::string start;
    std::string part;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n";
  const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
  const Case endless =
    GENERATE_COPY(Case{ "no answer", "", "x" },
                  Case{ "status line", "HTTP/1.1 200 ", "x" },
                  Case{ "header line", head + "X: ", "x" },
                  Case{ "header lines", head, "X: x\r\n" },
                  Case{ "body until close", head + "\r\n", "x" },
                  Case{ "small chunks", chunkedHead, "1\r\nx\r\n" },
                  Case{ "large chunks",
                        chunkedHead,
                        "10000\r\n" + std::string(65536, 'x') + "\r\n" },
                  Case{ "trailer", chunkedHead + "0\r\n", "X: x\r\n" });
  INFO(endless.name);
  constexpr int kCallers = 40;
  const auto backend = std::make_shared<EndlessBackend>(
    Fixture::kBackendPort, endless.start, endless.part);
  Fixture it(backend);
  Crowd crowd;
  for (int n = 0; n < kCallers; ++n) {
    crowd.Add(it.CallerPort(), Head("GET", "/a/endless", ""), 0, false);
  }
  crowd.Send();
  CHECK(it.IsAnswered());
  CHECK(backend->Ended() > 0);
  it.CheckNodes();
}

// Guards against answers that are counted apart from the bodies of requests: a
// node has one memory for both.
TEST_CASE("answers without end beside large bodies end no node", "[limits]")
{
  const auto backend = std::make_shared<EndlessBackend>(
    Fixture::kBackendPort,
    "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "10000\r\n" + std::string(65536, 'x') + "\r\n");
  Fixture it(backend);
  Crowd crowd;
  for (int n = 0; n < 24; ++n) {
    // Callers of both kinds at the node of the faulty server.
    const int port = it.owner.basePort + 1;
    crowd.Add(port, Head("POST", "/a/b", Length(kMaxBody)), kMaxBody, false);
    crowd.Add(port, Head("GET", "/a/endless", ""), 0, false);
  }
  crowd.Send();
  it.CheckNodes();
}

// Guards against large answers that pile up at the node of the server, or at
// the node of callers that don't read them.
TEST_CASE("many large answers at once, unread", "[limits]")
{
  Fixture it;
  Crowd crowd;
  for (int n = 0; n < 40; ++n) {
    crowd.Add(it.CallerPort(), Head("GET", "/a/huge", ""), 0, false);
  }
  crowd.Send();
  std::this_thread::sleep_for(Milliseconds(kStallMs));
  CHECK(it.IsAnswered());
  it.CheckNodes();
}
