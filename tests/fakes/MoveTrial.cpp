#include "MoveTrial.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

namespace knapweedpaddle::fakes {

namespace {

constexpr Milliseconds kSimulationStep{ 100 };
constexpr Milliseconds kEvidenceInterval{ 500 };
constexpr Milliseconds kDisturbanceDuration{ 20'000 };
constexpr Milliseconds kTimeAfterEnd{ 4000 };
/** Time after the verdict by which calls to the new version must have ended. */
constexpr Milliseconds kVerdictSpreadTime{ 2000 };
constexpr double kOrdinaryFailShare = 0.003;
constexpr double kOrdinarySlowShare = 0.01;
constexpr double kHighLoadFactor = 2.5;
/** Time that a zone may take to catch up once its cut links are back. */
constexpr Milliseconds kCatchUpTime{ 7000 };
const std::string kService = "svc";
const std::string kMove = "to-v2";

/** Runs one trial case and records its result. */
class Trial
{
public:
  Trial(const TrialCase& aCase, bool aWithEvidence)
    : mCase(aCase)
    , mWithEvidence(aWithEvidence)
    , mMesh(aCase.seed)
    , mRandom(aCase.seed * 7919)
  {
  }

  TrialResult Run()
  {
    Begin();
    const Timestamp limit = mDoneBy + Milliseconds(30'000);
    while (mMesh.clock.Now() < limit && !mMoveEnded) {
      Step();
    }
    const Timestamp tail = mMesh.clock.Now() + kTimeAfterEnd;
    while (mMesh.clock.Now() < tail) {
      Step();
    }
    if (mCallsBeforeVerdict > 0) {
      mResult.shareBeforeVerdict =
        static_cast<double>(mNewVersionCallsBeforeVerdict) /
        static_cast<double>(mCallsBeforeVerdict);
    }
    if (mFirstBadCall && mLastNewVersionCall) {
      mResult.faultToLastCall = std::chrono::duration_cast<Milliseconds>(
        *mLastNewVersionCall - *mFirstBadCall);
    }
    return mResult;
  }

private:
  using Member = FakeMesh::NodeState;

  void Begin()
  {
    for (const char* version : { "v1", "v2" }) {
      for (std::size_t n = 0; n < mCase.backendsPerVersion; ++n) {
        Member& member =
          mMesh.Add(mCase.zones[n % mCase.zones.size()], kService);
        member.backend->version = version;
      }
    }
    mMesh.StartAll();
    mMesh.clock.RunFor(Milliseconds(4000));
    mMesh.Accept(mMesh.members[0], "entries", Entries());
    mMesh.clock.RunFor(Milliseconds(3000));
    mStart = mMesh.clock.Now() + Milliseconds(1000);
    mDoneBy = mStart + mCase.window;
    mMesh.Accept(mMesh.members[0], "move", { MoveEntry() });
    mMesh.clock.RunUntil(mStart);
    ScheduleDisturbance();
  }

  std::vector<config::Entry> Entries() const
  {
    config::ServiceEntry service;
    service.header = { kService, "owner", 0 };
    service.version = "v1";
    std::vector<config::Entry> entries{ service };
    for (const auto& it : mCase.routes) {
      config::RouteEntry route;
      route.header = { it.name, "owner", 0 };
      route.pathPrefix = "/" + it.name + "/";
      route.service = kService;
      route.callClass = it.callClass;
      entries.emplace_back(route);
    }
    return entries;
  }

  config::MoveEntry MoveEntry() const
  {
    config::MoveEntry move;
    move.header = { kMove, "owner", 0 };
    move.service = kService;
    move.fromVersion = "v1";
    move.toVersion = "v2";
    move.startAt = mMesh.clock.WallTime() + 1000;
    move.doneBy = move.startAt + mCase.window.count();
    move.canaryShare = mCase.canaryShare;
    move.bake = mCase.bake;
    return move;
  }

  void ScheduleDisturbance()
  {
    const Timestamp begin = mStart + mCase.window / 4;
    FakeMesh& mesh = mMesh;
    switch (mCase.disturbance) {
      case Disturbance::kNone:
        return;
      case Disturbance::kPlatformDown:
        mesh.clock.ScheduleAt(
          begin, [&mesh] { mesh.SetPlatformFault(PlatformFault::kDown); });
        mesh.clock.ScheduleAt(begin + kDisturbanceDuration, [&mesh] {
          mesh.SetPlatformFault(PlatformFault::kNone);
        });
        return;
      case Disturbance::kZoneCut:
        mesh.clock.ScheduleAt(begin, [this] { CutLastZone(); });
        mesh.clock.ScheduleAt(begin + kDisturbanceDuration, [&mesh] {
          mesh.Heal();
          mesh.HealPlatform();
        });
        return;
      case Disturbance::kNodesRestarted:
        for (std::size_t n = 0; n < mesh.members.size(); n += 3) {
          mesh.clock.ScheduleAt(
            begin + Milliseconds(3000 * static_cast<std::int64_t>(n)),
            [this, n] {
              mMesh.Start(mMesh.members[n]);
              mEvidence.erase(&mMesh.members[n]);
            });
        }
        return;
    }
  }

  void CutLastZone()
  {
    const std::string& last = mCase.zones.back();
    for (const auto& it : mCase.zones) {
      if (it != last) {
        mMesh.Cut(it, last);
        mMesh.Cut(last, it);
      }
    }
    mMesh.CutPlatform(last);
    mCutZone = last;
    mCutUntil = mMesh.clock.Now() + kDisturbanceDuration;
  }

  void Step()
  {
    mMesh.clock.RunFor(kSimulationStep);
    RecordStages();
    for (const auto& it : mCase.routes) {
      const double mean =
        it.callsPerSecond * LoadFactor() * kSimulationStep.count() / 1000.0;
      std::poisson_distribution<int> draw(mean);
      for (int n = draw(mRandom); n > 0; --n) {
        Call(it);
      }
    }
    if (mMesh.clock.Now() >= mNextEvidence) {
      mNextEvidence = mMesh.clock.Now() + kEvidenceInterval;
      for (auto& [member, table] : mEvidence) {
        if (mWithEvidence && member->alive) {
          member->core->TakeEvidence(table);
        }
      }
    }
  }

  double LoadFactor() const
  {
    // The load is high in the middle third of the move.
    const auto since = mMesh.clock.Now() - mStart;
    return since > mCase.window / 3 && since < mCase.window * 2 / 3
             ? kHighLoadFactor
             : 1;
  }

  void Call(const TrialRoute& aRoute)
  {
    Member& ingress = mMesh.members[mRandom() % mMesh.members.size()];
    ++mResult.calls;
    if (!ingress.alive || !ingress.view || !ingress.view->open) {
      ++mResult.unservedCalls;
      return;
    }
    const double start = std::uniform_real_distribution<double>(0, 1)(mRandom);
    const double draw =
      mShareSequences.try_emplace({ &ingress, aRoute.name }, start)
        .first->second.Next();
    const routing::Target* target = nullptr;
    for (const auto& it :
         ingress.view->VersionsFor(kService, aRoute.callClass, draw)) {
      target = mBalancer.Pick(
        *ingress.view, { kService, it, ingress.zone, {} }, mMesh.clock.Now());
      if (target) {
        break;
      }
    }
    if (!target) {
      ++mResult.unservedCalls;
      return;
    }
    Serve(aRoute, ingress, *target);
  }

  void Serve(const TrialRoute& aRoute,
             const Member& aIngress,
             const routing::Target& aTarget)
  {
    const bool isNew = aTarget.version == "v2";
    const bool failed = Draw(FailShare(aRoute, aTarget, isNew));
    const bool slow = Draw(SlowShare(isNew));
    for (auto& it : mMesh.members) {
      if (it.id == aTarget.node) {
        backends::EvidenceSums& sums =
          mEvidence[&it][{ aTarget.version, aRoute.name }];
        ++sums.calls;
        sums.failures += failed ? 1 : 0;
        sums.slow += slow ? 1 : 0;
      }
    }
    const Timestamp now = mMesh.clock.Now();
    // Zones without the fault advance on their own evidence, so their calls say
    // nothing about how early the fault was found.
    const bool concerned = mCase.fault != VersionFault::kFailsInZone ||
                           aTarget.zone == mCase.zones.back();
    if (!mVerdict && concerned) {
      ++mCallsBeforeVerdict;
      mNewVersionCallsBeforeVerdict += isNew ? 1 : 0;
    }
    if (!isNew) {
      return;
    }
    mLastNewVersionCall = now;
    if (FaultActive() && (failed || slow)) {
      ++mResult.badCalls;
      mFirstBadCall = mFirstBadCall.value_or(now);
    }
    // A verdict can't reach the other side of a cut before the link is back.
    const bool otherSide =
      (aIngress.zone == mCutZone) != (mVerdictZone == mCutZone);
    const bool outOfReach = otherSide && now < mCutUntil + kCatchUpTime;
    if (mVerdict && now > *mVerdict + kVerdictSpreadTime && !outOfReach) {
      ++mResult.lateCalls;
    }
  }

  /** Returns true with the probability aShare. */
  bool Draw(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  bool FaultActive() const
  {
    return mCase.fault != VersionFault::kNone &&
           mMesh.clock.Now() >= mStart + mCase.faultAfter;
  }

  double FailShare(const TrialRoute& aRoute,
                   const routing::Target& aTarget,
                   bool aIsNew) const
  {
    if (!FaultActive()) {
      return kOrdinaryFailShare;
    }
    bool applies = false;
    switch (mCase.fault) {
      case VersionFault::kFails:
        applies = aIsNew;
        break;
      case VersionFault::kFailsOnRoute:
        applies = aIsNew && aRoute.name == mCase.routes.front().name;
        break;
      case VersionFault::kFailsInZone:
        applies = aIsNew && aTarget.zone == mCase.zones.back();
        break;
      case VersionFault::kFailsUnderLoad:
        applies = aIsNew && LoadFactor() > 1;
        break;
      case VersionFault::kBothFail:
        applies = true;
        break;
      default:
        break;
    }
    return applies ? mCase.faultShare : kOrdinaryFailShare;
  }

  double SlowShare(bool aIsNew) const
  {
    const bool applies =
      FaultActive() && mCase.fault == VersionFault::kSlow && aIsNew;
    return applies ? mCase.faultShare : kOrdinarySlowShare;
  }

  /** Records the shares reached, the verdict and the end of the move. */
  void RecordStages()
  {
    const Timestamp now = mMesh.clock.Now();
    bool allMoved = true;
    for (const auto& it : mMesh.members) {
      if (!it.alive || !it.view || !it.view->open) {
        continue;
      }
      const auto* move = it.view->config->Get<config::MoveEntry>(
        config::EntryKind::kMove, kMove);
      const auto share = it.view->splits.find(kService);
      if (!move || share == it.view->splits.end()) {
        allMoved = false;
        continue;
      }
      const bool condemned =
        share->second.condemned || move->state == config::MoveState::kTakenBack;
      if (condemned && !mVerdict) {
        mVerdict = now;
        mVerdictZone = it.zone;
      }
      if (!condemned && !mVerdict && !share->second.toVersion.empty()) {
        mResult.largestShareReached =
          std::max(mResult.largestShareReached, share->second.share);
      }
      const bool moved =
        share->second.share >= 1 ||
        share->second.fromVersions == routing::VersionSelector::Only("v2");
      allMoved = allMoved && moved && !condemned;
      if (move->state != config::MoveState::kOpen && !mMoveEnded) {
        mMoveEnded = true;
        mResult.end = move->state;
        mResult.reason = move->reason;
      }
    }
    if (allMoved && now <= mDoneBy) {
      mResult.inTime = true;
    }
  }

  const TrialCase& mCase;
  bool mWithEvidence;
  FakeMesh mMesh;
  std::mt19937_64 mRandom;
  routing::LoadBalancer mBalancer{ routing::LoadBalancerOptions{}, 5 };
  std::map<Member*, backends::EvidenceTable> mEvidence;
  std::map<std::pair<Member*, std::string>, routing::LowDiscrepancySequence>
    mShareSequences;
  TrialResult mResult;
  Timestamp mStart;
  Timestamp mDoneBy;
  Timestamp mNextEvidence{};
  std::optional<Timestamp> mVerdict;
  std::optional<Timestamp> mFirstBadCall;
  std::optional<Timestamp> mLastNewVersionCall;
  std::uint64_t mCallsBeforeVerdict = 0;
  std::uint64_t mNewVersionCallsBeforeVerdict = 0;
  std::string mCutZone;
  std::string mVerdictZone;
  Timestamp mCutUntil{};
  bool mMoveEnded = false;
};

} // namespace

TrialResult
RunTrial(const TrialCase& aCase, bool aWithEvidence)
{
  return Trial(aCase, aWithEvidence).Run();
}

} // namespace knapweedpaddle::fakes
