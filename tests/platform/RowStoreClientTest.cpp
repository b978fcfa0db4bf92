// RowStoreClient with an HTTP server that answers like the platform's store,
// which may be restored from an older copy.

#include "RowStoreClient.h"

#include "fakes/EndlessServer.h"
#include "fakes/FreeAddress.h"
#include "knapweedpaddle/http/Server.h"
#include "knapweedpaddle/runtime/EventLoop.h"
#include "knapweedpaddle/store/Revision.h"

#include <catch2/catch.hpp>

using namespace knapweedpaddle;
using platform::RowStoreClient;

namespace {

constexpr Milliseconds kTimeout{ 1000 };

/** A store whose answers all hold one row with the newest version. */
struct Fixture
{
  Fixture()
    : server(loop,
             [this](const http::ExchangePtr& aExchange) {
               requests.push_back(aExchange->Message());
               http::Response response;
               response.status = 200;
               if (!history.empty()) {
                 response.headers = { { "Store-Era", history } };
               }
               response.body =
                 R"({"rows":[{"table":"op","part":"","key":"config",)"
                 R"("ver":)" +
                 version + R"(,"value":"YQ=="}],"ver":)" + version +
                 R"(,"truncated":false,"now-s":1})";
               aExchange->Respond(std::move(response));
             })
    , address(fakes::FreeAddress())
    , client(loop, address, kTimeout, [](std::size_t, std::size_t) {})
  {
    REQUIRE(server.Listen(address));
  }

  store::TableRows Read(const std::string& aHistory,
                        const std::string& aVersion)
  {
    history = aHistory;
    version = aVersion;
    std::optional<store::TableRows> result;
    client.ReadTable("op", [&](auto aRows, const auto& aReason) {
      result = std::move(aRows);
      error = aReason.code;
      loop.Stop();
    });
    loop.Run();
    return result.value_or(store::TableRows{});
  }

  bool Follow(std::uint64_t aAfter)
  {
    bool answered = false;
    client.Follow("op",
                  aAfter,
                  Milliseconds(0),
                  [&](const auto& aRows, const auto& aReason) {
                    answered = aRows.has_value();
                    error = aReason.code;
                    loop.Stop();
                  });
    loop.Run();
    return answered;
  }

  bool Commit(std::uint64_t aRevision)
  {
    bool done = false;
    store::Transaction transaction;
    transaction.conditions.push_back({ "status/a", aRevision });
    client.Commit(std::move(transaction),
                  [&](bool aDone, const store::StoreReason& aReason) {
                    done = aDone;
                    error = aReason.code;
                    conflictingKeys = aReason.conflictingKeys;
                    loop.Stop();
                  });
    loop.Run();
    return done;
  }

  std::string history;
  std::string version = "1";
  std::vector<http::Request> requests;
  std::optional<store::StoreError> error;
  std::vector<std::string> conflictingKeys;
  runtime::EventLoop loop;
  http::Server server;
  std::string address;
  RowStoreClient client;
};

} // namespace

TEST_CASE("revisions rise when a restored store gives versions out again",
          "[store]")
{
  Fixture it;
  const store::TableRows before = it.Read("4", "90");
  const store::TableRows after = it.Read("5", "80");
  REQUIRE(before.rows.size() == 1);
  REQUIRE(after.rows.size() == 1);
  CHECK(after.revision > before.revision);
  CHECK(after.rows[0].revision > before.rows[0].revision);
  // An answer that was on its way while the store was restored.
  CHECK(it.Read("4", "91").rows.empty());
  CHECK(it.error == store::StoreError::kOutcomeUnknown);
}

TEST_CASE(
  "a revision of an earlier history is neither followed nor a condition",
  "[store]")
{
  Fixture it;
  const std::uint64_t before = it.Read("4", "90").revision;
  CHECK(it.Follow(before));
  CHECK(it.requests.back().target.find("after=90&") != std::string::npos);
  CHECK(it.Commit(before));
  CHECK(it.requests.back().body.Get().find(R"("ver":90)") != std::string::npos);
  it.history = "5";
  it.version = "95";
  CHECK_FALSE(it.Follow(before));
  CHECK(it.error == store::StoreError::kHistoryGone);
  const std::size_t sent = it.requests.size();
  CHECK_FALSE(it.Commit(before));
  CHECK(it.error == store::StoreError::kConflict);
  CHECK(it.conflictingKeys == std::vector<std::string>{ "status/a" });
  CHECK(it.requests.size() == sent);
}

TEST_CASE("without a history all revisions are those of one", "[store]")
{
  Fixture it;
  CHECK(it.Read("", "90").revision == 90);
  CHECK(it.Read("five", "91").revision == 91);
  CHECK(it.Follow(90));
}

// Guards against a node that runs out of memory because the store, or what took
// its address, sends bytes without end.
TEST_CASE("answers of the store without end are given up", "[store]")
{
  constexpr int kReads = 4;
  // A page of a table has 1 MB, an object 8 MB; what sockets buffer comes on
  // top.
  constexpr std::size_t kMaxBytes = 16UL * 1024 * 1024;
  constexpr std::size_t kSocketBytes = 8UL * 1024 * 1024;
  runtime::EventLoop loop;
  fakes::EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "[");
  RowStoreClient client(
    loop, server.address, Milliseconds(5000), [](std::size_t, std::size_t) {});
  int failed = 0;
  for (int n = 0; n < kReads; ++n) {
    client.ReadTable("op", [&failed](const auto& aRows, const auto&) {
      failed += aRows ? 0 : 1;
    });
  }
  CHECK(fakes::RunUntil(
    loop, [&] { return failed == kReads && server.openConnections == 0; }));
  CHECK(server.bytesSent <= kMaxBytes + kReads * kSocketBytes);
}
