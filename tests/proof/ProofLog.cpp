#include "ProofLog.h"

#include <cstdio>
#include <cstdlib>

namespace knapweedpaddle::proof {

void
Note(const std::string& aProperty,
     const std::string& aFault,
     std::uint64_t aCases,
     std::uint64_t aFailures,
     const std::string& aTest)
{
  const char* path = std::getenv("KNAPWEED_PROOF");
  if (!path) {
    return;
  }
  if (std::FILE* file = std::fopen(path, "a")) {
    std::fprintf(file,
                 "%s|%s|%llu|%llu|%s\n",
                 aProperty.c_str(),
                 aFault.c_str(),
                 static_cast<unsigned long long>(aCases),
                 static_cast<unsigned long long>(aFailures),
                 aTest.c_str());
    std::fclose(file);
  }
}

} // namespace knapweedpaddle::proof
