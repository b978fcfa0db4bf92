#pragma once

#include "knapweedpaddle/config/Snapshot.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace knapweedpaddle::cli {

/**
 * Reads the entries of a catalogue file.
 *
 * @return nothing, with the fault in aReason, if there are none to be read.
 */
std::optional<nlohmann::json>
ReadEntries(const std::string& aPath, std::string& aReason);

/**
 * Reads a configuration from a file: a catalogue, or the document that
 * operators write into the platform's store.
 *
 * @return null, with the fault in aReason, if it can't be read.
 */
config::SnapshotPtr
ReadConfigFile(const std::string& aPath, std::string& aReason);

} // namespace knapweedpaddle::cli
