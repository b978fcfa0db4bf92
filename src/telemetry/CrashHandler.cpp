#include "knapweedpaddle/telemetry/CrashHandler.h"

#include <array>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <execinfo.h>
#include <initializer_list>
#include <ucontext.h>
#include <unistd.h>

namespace knapweedpaddle::telemetry {

namespace {

constexpr int kMaxFrames = 48;

/** Writes a text. Functions that allocate memory must not be called here. */
void
Write(const char* aText)
{
  static_cast<void>(!write(STDERR_FILENO, aText, std::strlen(aText)));
}

void
WriteHex(const char* aLabel, std::uintptr_t aValue)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::array<char, 2 * sizeof(aValue) + 1> buf{};
  for (std::size_t n = buf.size() - 1; n > 0; --n) {
    buf[n - 1] = kDigits[aValue % 16];
    aValue /= 16;
  }
  Write(aLabel);
  Write(buf.data());
}

std::uintptr_t
InstructionPointer(const ucontext_t& aContext)
{
#if defined(__x86_64__)
  return static_cast<std::uintptr_t>(aContext.uc_mcontext.gregs[REG_RIP]);
#elif defined(__aarch64__)
  return static_cast<std::uintptr_t>(aContext.uc_mcontext.pc);
#else
  static_cast<void>(aContext);
  return 0;
#endif
}

void
OnCrash(int aSignal, siginfo_t* aInfo, void* aContext)
{
  WriteHex("crashed: signal 0x", static_cast<std::uintptr_t>(aSignal));
  WriteHex(", code 0x", static_cast<std::uintptr_t>(aInfo->si_code));
  WriteHex(", address 0x", reinterpret_cast<std::uintptr_t>(aInfo->si_addr));
  WriteHex(", instruction 0x",
           InstructionPointer(*static_cast<const ucontext_t*>(aContext)));
  Write("\n");
  std::array<void*, kMaxFrames> frames{};
  backtrace_symbols_fd(
    frames.data(), backtrace(frames.data(), kMaxFrames), STDERR_FILENO);
  // The handler was reset to the default: the signal ends the process.
  raise(aSignal);
}

} // namespace

void
InstallCrashHandler()
{
  // The first call loads a library, which is not safe in the handler.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1);
  struct sigaction action
  {};
  action.sa_sigaction = OnCrash;
  action.sa_flags = SA_SIGINFO | static_cast<int>(SA_RESETHAND) | SA_NODEFER;
  for (const int it : { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT }) {
    sigaction(it, &action, nullptr);
  }
}

} // namespace knapweedpaddle::telemetry
