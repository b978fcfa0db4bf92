#pragma once

#include "knapweedpaddle/config/Snapshot.h"

namespace knapweedpaddle::cli {

/**
 * Reads a configuration from a file: a catalogue, or the document that
 * operators write into the platform's store.
 *
 * @return null, with the fault in aReason, if it can't be read.
 */
config::SnapshotPtr
ReadConfigFile(const std::string& aPath, std::string& aReason);

} // namespace knapweedpaddle::cli
