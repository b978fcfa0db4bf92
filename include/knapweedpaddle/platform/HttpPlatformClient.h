#pragma once

#include "knapweedpaddle/common/Time.h"
#include "knapweedpaddle/platform/PlatformClient.h"
#include "knapweedpaddle/runtime/HttpClient.h"

namespace knapweedpaddle::platform {

/** Reaches the platform by HTTP and JSON, as docs/PROTOCOLS.md describes. */
class HttpPlatformClient : public PlatformClient
{
public:
  /** Counts what went over the wire, in bytes, for the control byte budget. */
  using ByteCounter =
    std::function<void(std::size_t aSent, std::size_t aReceived)>;

  /**
   * @param aAddress  "IP:port" of the platform.
   * @param aTimeout  longest wait for one answer.
   */
  HttpPlatformClient(runtime::EventLoop& aLoop,
                     std::string aAddress,
                     Milliseconds aTimeout,
                     ByteCounter aCounter);

  void Read(std::vector<std::string> aKeys, RowsCallback aCallback) override;
  void ReadRange(std::string aPrefix,
                 std::string aFirst,
                 std::size_t aLimit,
                 RowsCallback aCallback) override;
  void Commit(Transaction aTransaction, DoneCallback aCallback) override;
  void PutObject(std::string aName,
                 std::string aBody,
                 DoneCallback aCallback) override;
  void GetObject(std::string aName, ObjectCallback aCallback) override;

private:
  using AnswerCallback =
    std::function<void(std::optional<runtime::HttpResponse>,
                       const PlatformReason&)>;
  void Send(std::string aMethod,
            const std::string& aPath,
            std::string aBody,
            AnswerCallback aCallback);
  void SendForRows(const std::string& aPath,
                   std::string aBody,
                   RowsCallback aCallback);

  runtime::HttpClient mClient;
  std::string mAddress;
  Milliseconds mTimeout;
  ByteCounter mCounter;
};

} // namespace knapweedpaddle::platform
