#pragma once

#include "knapweedpaddle/common/CrashSuspect.h"
#include "knapweedpaddle/common/Time.h"

#include <string>
#include <vector>

namespace knapweedpaddle::backends {

/**
 * Finds requests that crash the backend server that runs them (queries of
 * death), from the crashes of this node's server and what other nodes report.
 * A crash shows as calls that lose their connection before the server refuses
 * further connections or starts again.
 *
 * Thread safety: one thread.
 */
class CrashDetector
{
public:
  /** Returns the hash by which a repeated request is recognized. */
  static std::uint64_t HashOf(const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody);

  /** Records that the connection of a dispatched request ended without a
   * response. */
  void OnConnectionLost(std::uint64_t aRequest, Timestamp aNow);

  /**
   * Records a response, which shows that the server did not crash since the
   * request was sent.
   *
   * @param aRan  whether the server ran the request.
   */
  void OnResponse(std::uint64_t aRequest,
                  bool aRan,
                  Timestamp aSentAt,
                  Timestamp aNow);

  /**
   * Records that the server refuses connections or has started again.
   *
   * @return the number of requests under which it crashed, or 0.
   */
  std::size_t OnServerDown(Timestamp aNow);

  /** Sets what the other nodes saw. */
  void SetOtherNodes(CrashSuspects aSuspects);

  /** Returns true if no response needs to be recorded. */
  bool IsIdle() const { return mLost.empty() && !HasSuspects(); }

  /** Returns true if some request is suspected here or at other nodes. */
  bool HasSuspects() const { return !mOwn.empty() || !mOthers.empty(); }

  /** Returns true if a request must not run, as it crashed several servers and
   * none has ever answered it. */
  bool IsBlocked(std::uint64_t aRequest) const;

  /** Returns what this node saw, for the other nodes; the suspects with the
   * most and the latest crashes if there are many. */
  std::vector<CrashSuspect> Report(Timestamp aNow);

private:
  struct OwnSuspect
  {
    CrashSuspect suspect;
    Timestamp seenAt; ///< last crash or response
  };

  struct LostRequest
  {
    std::uint64_t request;
    Timestamp lostAt;
  };

  /** Returns what all nodes together saw of a request. */
  CrashSuspect Total(std::uint64_t aRequest) const;

  std::vector<LostRequest> mLost; ///< since the server last showed to be up
  std::map<std::uint64_t, OwnSuspect> mOwn;
  CrashSuspects mOthers;
};

} // namespace knapweedpaddle::backends
