#pragma once

#include "knapweedpaddle/backends/BackendDialect.h"
#include "knapweedpaddle/callers/Call.h"
#include "knapweedpaddle/http/Message.h"

namespace knapweedpaddle::backends {

/**
 * Reads what a response of the backend server says: about the call that it ends
 * and about the server itself.
 *
 * Thread safety: any thread, as the class has no state of its own.
 */
class AnswerReader
{
public:
  /** @param aDialect  must outlive the reader. */
  explicit AnswerReader(const BackendDialect& aDialect)
    : mDialect(aDialect)
  {
  }

  /**
   * Returns the result of a call that got a response. The call is reported as
   * not run only if the server refused it and the response certainly belongs to
   * the call: a faulty server may write an earlier refusal again.
   */
  callers::CallResult ResultOf(const std::string& aCallId,
                               http::Response aResponse) const;

  /** Returns true if the response comes from another server than the call was
   * sent to. */
  bool IsMisdirected(const http::Response& aResponse) const;

  /** Returns true if a response proves that the server itself responded, or no
   * proof is expected. */
  bool HasStamp(const http::Response& aResponse) const;

  /** Returns true if the response says that the server leaves. */
  bool SaysLeaving(const http::Response& aResponse) const;

  /** Returns the rate limit that the response names; null if it names none. */
  const std::string* RateLimit(const http::Response& aResponse) const;

private:
  /** Returns the value of a header, or null. Headers without a name in the
   * dialect are never found. */
  static const std::string* Find(const http::Response& aResponse,
                                 const std::string& aName);

  const BackendDialect& mDialect;
};

} // namespace knapweedpaddle::backends
