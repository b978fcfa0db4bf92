#include "MoveTrial.h"

#include "knapweedpaddle/moves/MoveSchedule.h"

namespace knapweedpaddle::fakes {

namespace {

constexpr Milliseconds kStep{ 100 };
constexpr Milliseconds kEvidenceEvery{ 500 };
constexpr Milliseconds kDisturbedFor{ 20'000 };
constexpr Milliseconds kAfterEnd{ 4000 };
constexpr Milliseconds kReach{
  2000
}; ///< the target's time from verdict to no calls
constexpr double kOrdinaryBadShare = 0.003;
constexpr double kOrdinarySlowShare = 0.01;
constexpr double kHighLoadFactor = 2.5;
constexpr Milliseconds kHealTime{
  7000
}; ///< from a link's return to being up to date
const std::string kService = "svc";
const std::string kMove = "to-v2";

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
    while (mMesh.clock.Now() < limit && !mEnded) {
      Step();
    }
    const Timestamp tail = mMesh.clock.Now() + kAfterEnd;
    while (mMesh.clock.Now() < tail) {
      Step();
    }
    if (mTotalBefore > 0) {
      mResult.shareBeforeVerdict =
        static_cast<double>(mNewBefore) / static_cast<double>(mTotalBefore);
    }
    if (mFirstBad && mLastNew) {
      mResult.faultToZero =
        std::chrono::duration_cast<Milliseconds>(*mLastNew - *mFirstBad);
    }
    return mResult;
  }

private:
  using Member = FakeMesh::NodeState;

  void Begin()
  {
    for (const char* version : { "v1", "v2" }) {
      for (std::size_t n = 0; n < mCase.upstreams; ++n) {
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
        mesh.clock.At(begin,
                      [&mesh] { mesh.SetPlatformFault(PlatformFault::kDown); });
        mesh.clock.At(begin + kDisturbedFor,
                      [&mesh] { mesh.SetPlatformFault(PlatformFault::kNone); });
        return;
      case Disturbance::kZoneCut:
        mesh.clock.At(begin, [this] { CutLastZone(); });
        mesh.clock.At(begin + kDisturbedFor, [&mesh] {
          mesh.Heal();
          mesh.HealPlatform();
        });
        return;
      case Disturbance::kNodesRestarted:
        for (std::size_t n = 0; n < mesh.members.size(); n += 3) {
          mesh.clock.At(begin +
                          Milliseconds(3000 * static_cast<std::int64_t>(n)),
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
    mCutUntil = mMesh.clock.Now() + kDisturbedFor;
  }

  void Step()
  {
    mMesh.clock.RunFor(kStep);
    NoteStages();
    for (const auto& it : mCase.routes) {
      const double mean =
        it.callsPerSecond * LoadFactor() * kStep.count() / 1000.0;
      std::poisson_distribution<int> draw(mean);
      for (int n = draw(mRandom); n > 0; --n) {
        Call(it);
      }
    }
    if (mMesh.clock.Now() >= mNextEvidence) {
      mNextEvidence = mMesh.clock.Now() + kEvidenceEvery;
      for (auto& [member, table] : mEvidence) {
        if (mWithEvidence && member->alive) {
          member->core->TakeEvidence(table);
        }
      }
    }
  }

  double LoadFactor() const
  {
    // A busy spell in the middle of the move.
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
      ++mResult.unserved;
      return;
    }
    const double start = std::uniform_real_distribution<double>(0, 1)(mRandom);
    const double draw =
      mDraws.try_emplace({ &ingress, aRoute.name }, start).first->second.Next();
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
      ++mResult.unserved;
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
    // Zones where the version is sound advance on their own evidence.
    const bool concerned = mCase.fault != VersionFault::kFailsInZone ||
                           aTarget.zone == mCase.zones.back();
    if (!mVerdict && concerned) {
      ++mTotalBefore;
      mNewBefore += isNew ? 1 : 0;
    }
    if (!isNew) {
      return;
    }
    mLastNew = now;
    if (FaultActive() && (failed || slow)) {
      ++mResult.badCalls;
      mFirstBad = mFirstBad.value_or(now);
    }
    // A cut zone and the others can't hear of each other's verdicts.
    const bool otherSide =
      (aIngress.zone == mCutZone) != (mVerdictZone == mCutZone);
    const bool outOfReach = otherSide && now < mCutUntil + kHealTime;
    if (mVerdict && now > *mVerdict + kReach && !outOfReach) {
      ++mResult.callsLongAfter;
    }
  }

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
      return kOrdinaryBadShare;
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
      case VersionFault::kFailsLoaded:
        applies = aIsNew && LoadFactor() > 1;
        break;
      case VersionFault::kBothFail:
        applies = true;
        break;
      default:
        break;
    }
    return applies ? mCase.badShare : kOrdinaryBadShare;
  }

  double SlowShare(bool aIsNew) const
  {
    const bool applies =
      FaultActive() && mCase.fault == VersionFault::kSlow && aIsNew;
    return applies ? mCase.badShare : kOrdinarySlowShare;
  }

  /** Follows the move's stages, its verdict and its end. */
  void NoteStages()
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
        share->second.share >= 1 || share->second.fromVersion == "v2";
      allMoved = allMoved && moved && !condemned;
      if (move->state != config::MoveState::kOpen && !mEnded) {
        mEnded = true;
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
    mDraws;
  TrialResult mResult;
  Timestamp mStart;
  Timestamp mDoneBy;
  Timestamp mNextEvidence{};
  std::optional<Timestamp> mVerdict;
  std::optional<Timestamp> mFirstBad;
  std::optional<Timestamp> mLastNew;
  std::uint64_t mTotalBefore = 0;
  std::uint64_t mNewBefore = 0;
  std::string mCutZone;
  std::string mVerdictZone;
  Timestamp mCutUntil{};
  bool mEnded = false;
};

} // namespace

TrialResult
RunTrial(const TrialCase& aCase, bool aWithEvidence)
{
  return Trial(aCase, aWithEvidence).Run();
}

} // namespace knapweedpaddle::fakes
