// The rate that a backend server names, and the calls that it still gets.

#include "knapweedpaddle/backends/ServerRateLimit.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

using namespace knapweedpaddle;
using namespace knapweedpaddle::backends;

namespace {

const Timestamp kNow{ std::chrono::hours(1) };
constexpr Milliseconds kStep{ 1 };
constexpr std::chrono::seconds kWindow{ 4 };

/** The platform's limit of calls in 4 s, for a server that names a rate. */
double
MaxCallsInWindow(double aRate)
{
  return aRate * 4 * 1.5 + 5;
}

/** Sends calls as fast as the limit allows, and counts those of the last 4 s.
 * Each call is in progress until the next one is sent. */
struct Sender
{
  void SendFor(Milliseconds aTime)
  {
    for (const Timestamp end = now + aTime; now < end; now += kStep) {
      while (limit.TakeCall(unanswered, now)) {
        unanswered += answered ? 0 : 1;
        sent.push_back(now);
        if (sent.size() > kMaxCalls) {
          return;
        }
      }
      std::erase_if(sent,
                    [this](Timestamp aSent) { return aSent <= now - kWindow; });
      mostInWindow = std::max(mostInWindow, sent.size());
    }
  }

  void Answer(std::optional<double> aRate)
  {
    answered = true;
    limit.OnAnswer(aRate, now, now);
  }

  /** Replaces the limit by that of a new process. */
  void Restart()
  {
    limit = {};
    answered = false;
    unanswered = 0;
  }

  static constexpr std::size_t kMaxCalls = 10'000;
  ServerRateLimit limit;
  Timestamp now = kNow;
  bool answered = false;
  std::size_t unanswered = 0;
  std::deque<Timestamp> sent;
  std::size_t mostInWindow = 0;
};

} // namespace

TEST_CASE("calls stay within the named rate, also when it changes or the "
          "process restarts",
          "[owner]")
{
  for (const double rate : { 0.0, 0.3, 2.5, 9.1, 70.0, 400.0 }) {
    for (const bool restarts : { false, true }) {
      INFO("rate " << rate << (restarts ? ", with a restart" : ""));
      Sender it;
      it.Answer(rate);
      it.SendFor(Milliseconds(6000));
      if (restarts) {
        it.Restart();
        it.SendFor(Milliseconds(300));
        it.Answer(rate);
      } else {
        it.Answer(rate / 2);
        it.SendFor(Milliseconds(500));
        it.Answer(rate);
      }
      it.SendFor(Milliseconds(6000));
      CHECK(static_cast<double>(it.mostInWindow) <= MaxCallsInWindow(rate));
      CHECK(static_cast<double>(it.sent.size()) >= std::floor(rate * 3.9));
      CHECK_FALSE(it.sent.empty());
    }
  }
}

TEST_CASE("an answer to a call sent before the rate was named does not lift it",
          "[owner]")
{
  ServerRateLimit limit;
  limit.OnAnswer(5, kNow, kNow + Milliseconds(50));
  limit.OnAnswer(
    std::nullopt, kNow + Milliseconds(20), kNow + Milliseconds(60));
  CHECK(limit.Rate() == 5);
  limit.OnAnswer(
    std::nullopt, kNow + Milliseconds(70), kNow + Milliseconds(90));
  CHECK_FALSE(limit.Rate());
  CHECK(limit.WaitFor(100, kNow + Milliseconds(90)) == Microseconds(0));
}

TEST_CASE("a rate that is no number of calls a second is rejected", "[owner]")
{
  CHECK(ServerRateLimit::Parse("33.8") == 33.8);
  CHECK(ServerRateLimit::Parse("0") == 0);
  for (const char* text :
       { "", "-1", "nan", "inf", "12 ", "1,5", "a", "1e999" }) {
    CHECK_FALSE(ServerRateLimit::Parse(text));
  }
}
