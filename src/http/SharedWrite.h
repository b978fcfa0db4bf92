#pragma once

#include "knapweedpaddle/common/SharedBytes.h"

struct bufferevent;

namespace knapweedpaddle::http {

/** Writes bytes to a socket's buffer without a copy of large ones. */
void
WriteShared(bufferevent* aBuffer, const SharedBytes& aBytes);

} // namespace knapweedpaddle::http
