#pragma once

namespace knapweedpaddle::telemetry {

/**
 * Makes the process write the signal, the faulting address and the stack to
 * standard error when it crashes. It ends by the same signal afterwards.
 *
 * Thread safety: call once, before other threads start.
 */
void
InstallCrashHandler();

} // namespace knapweedpaddle::telemetry
