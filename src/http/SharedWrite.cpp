#include "SharedWrite.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace knapweedpaddle::http {

namespace {

/** Smaller bodies are copied, which costs less than a reference. */
constexpr std::size_t kMinReferenceBytes = 4096;

} // namespace

void
WriteShared(bufferevent* aBuffer, const SharedBytes& aBytes)
{
  if (aBytes.Size() < kMinReferenceBytes) {
    bufferevent_write(aBuffer, aBytes.Data(), aBytes.Size());
    return;
  }
  auto* reference = new SharedBytes(aBytes);
  const auto release = [](const void*, std::size_t, void* aReference) {
    delete static_cast<SharedBytes*>(aReference);
  };
  if (evbuffer_add_reference(bufferevent_get_output(aBuffer),
                             reference->Data(),
                             reference->Size(),
                             release,
                             reference) != 0) {
    delete reference;
  }
}

} // namespace knapweedpaddle::http
