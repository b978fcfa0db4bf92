// A node confirms that its upstream leaves, is killed and started again, and
// gets a status report of that upstream that was on its way before.

#include "../stand-ins-2/rig.h"

using namespace rig;

namespace {

constexpr double kDrainSeconds = 2;
constexpr double kContactSeconds = 3;
/** How long the upstream goes on serving after the confirmation. */
constexpr double kServesOn = 10;
/** How late the status report arrives. */
constexpr double kReportDelay = 2;

} // namespace

int
main(int, char** aArguments)
{
  gRecord.Open(aArguments[1]);
  Store store({ LoopbackNet() + "250", 8309 });
  Node first(1, "perth-a", "alpha", store);
  Node second(2, "perth-b", "alpha", store);
  Node third(3, "perth-c", "beta", store);
  store.Put("op",
            "config",
            Json{ { "version", "r7" },
                  { "routes",
                    { { "r-alpha", Route("alpha", "non_idempotent", 1.5, 0.5) } } },
                  { "services", { { "alpha", Service() }, { "beta", Service() } } },
                  { "limits", Limits() } }
              .dump());
  for (Node* it : { &first, &second, &third }) {
    it->Start();
  }
  Sleep(1);
  Upstream leaving(first, "i-a1", "alpha");
  Upstream other(second, "i-a2", "alpha");
  leaving.workSeconds = 0.1;
  other.workSeconds = 0.3;
  leaving.StartReports();
  other.StartReports();
  WaitReady({ &first, &second, &third });
  Sleep(4);

  std::atomic<bool> sends{ true };
  std::mutex mutex;
  std::set<std::string> unserved;
  std::vector<std::thread> consumers;
  for (Node* node : { &second, &third, &second, &third }) {
    consumers.emplace_back([&, node] {
      while (sends) {
        Sent sent{ NewId(), "POST" };
        sent.body = "order";
        if (Request(*node, sent).status != 200) {
          const std::scoped_lock lock(mutex);
          unserved.insert(sent.id);
        }
        Sleep(0.03);
      }
    });
  }
  Sleep(3);
  if (RunsOf(leaving.id).empty()) {
    GiveUp("the upstream gets no requests before it leaves");
  }

  leaving.StopReports();
  // The last status report before the upstream leaves; it arrives late.
  const Json report = leaving.Report("ready");
  const double reportSentAt = Now();
  gRecord.Line("upstream " + leaving.id + ": sends report ready, seq " +
               report.at("seq").dump() + ", which is delayed");
  if (!leaving.Deregister()) {
    GiveUp("the upstream's leaving is not confirmed");
  }
  const double confirmedAt = Now();
  if (WithTrouble()) {
    Sleep(0.2);
    first.Kill();
    Sleep(0.5);
    first.Start(false);
  }
  SleepUntil(reportSentAt + kReportDelay);
  leaving.Send(report, ", late");
  SleepUntil(confirmedAt + kServesOn);
  leaving.Exit();
  sends = false;
  for (auto& it : consumers) {
    it.join();
  }

  // All machines on the way were in touch: the first one again after contact-s.
  const double from =
    std::max(confirmedAt + kDrainSeconds,
             WithTrouble() ? first.startedAt + kContactSeconds + 0.2 : 0);
  int late = 0;
  int lost = 0;
  for (const auto& it : RunsOf(leaving.id)) {
    late += it.at > from ? 1 : 0;
    lost += it.at > from && unserved.contains(it.request) ? 1 : 0;
  }
  const std::string counts =
    std::to_string(late) + " requests reached upstream " + leaving.id +
    " later than drain-s after its leaving was confirmed, by machines in touch; " +
    std::to_string(lost) + " of them ran and got no answer of the upstream";
  Finish(late > 0 ? kBroken : kHeld, (late > 0 ? "DRAIN broken: " : "held: ") + counts);
}
