#pragma once

#include <cstdint>
#include <string>

namespace knapweedpaddle::proof {

/**
 * Notes that a property was checked under a fault, for docs/PROOF.md. Lines
 * are appended to the file that the environment variable KNAPWEED_PROOF names.
 *
 * @param aCells  number of cases tried.
 * @param aBad    number of cases in which the property did not hold.
 */
void
Note(const std::string& aProperty,
     const std::string& aFault,
     std::uint64_t aCells,
     std::uint64_t aBad,
     const std::string& aTest);

} // namespace knapweedpaddle::proof
