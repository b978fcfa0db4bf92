#include "knapweedpaddle/telemetry/Log.h"

#include "LogSink.h"

#include <easylogging++.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace knapweedpaddle::telemetry {

namespace {

/** Puts quotes around a value that is empty or holds a separator; line breaks
 * become spaces. */
std::string
Quoted(const std::string& aValue)
{
  if (!aValue.empty() && aValue.find_first_of(" =\"\n") == std::string::npos) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

using LevelWriter = void (*)(const std::string&);

constexpr std::array<LevelWriter, 4> kLevelWriters{
  [](const std::string& aLine) { LOG(DEBUG) << aLine; },
  [](const std::string& aLine) { LOG(INFO) << aLine; },
  [](const std::string& aLine) { LOG(WARNING) << aLine; },
  [](const std::string& aLine) { LOG(ERROR) << aLine; },
};

LogSink&
StandardOutput()
{
  static LogSink sink(STDOUT_FILENO);
  return sink;
}

/** Writes the library's lines to a LogSink, since its own output blocks while
 * the reader of standard output does not read. */
class SinkCallback : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    const el::LogMessage* message = aData->logMessage();
    StandardOutput().Write(
      message->logger()->logBuilder()->build(message, false));
  }
};

} // namespace

void
StartLog(LogLevel aLevel)
{
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<SinkCallback>("SinkCallback");
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  static constexpr std::array<el::Level, 4> kLevels{
    el::Level::Debug, el::Level::Info, el::Level::Warning, el::Level::Error
  };
  for (std::size_t n = 0; n < static_cast<std::size_t>(aLevel); ++n) {
    configuration.set(kLevels[n], el::ConfigurationType::Enabled, "false");
  }
  el::Loggers::reconfigureLogger("default", configuration);
}

void
LogEvent(LogCategory aCategory,
         LogLevel aLevel,
         const std::string& aEvent,
         std::initializer_list<LogField> aFields)
{
  std::string line =
    "level=" + std::string(NameOf(kLogLevelNames, aLevel)) +
    " category=" + std::string(NameOf(kLogCategoryNames, aCategory)) +
    " event=" + aEvent;
  for (const auto& it : aFields) {
    line += " " + it.key + "=" + Quoted(it.value);
  }
  kLevelWriters[static_cast<std::size_t>(aLevel)](line);
}

} // namespace knapweedpaddle::telemetry
