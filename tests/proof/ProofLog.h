#pragma once

#include <cstdint>
#include <string>

namespace knapweedpaddle::proof {

/**
 * Records the result of checking a property under a fault, for docs/PROOF.md.
 * A line is appended to the file that the environment variable KNAPWEED_PROOF
 * names; without the variable nothing is recorded.
 *
 * @param aCases     number of cases tried.
 * @param aFailures  number of cases in which the property did not hold.
 */
void
Note(const std::string& aProperty,
     const std::string& aFault,
     std::uint64_t aCases,
     std::uint64_t aFailures,
     const std::string& aTest);

} // namespace knapweedpaddle::proof
