// Feeds what comes over a compressed link, cut in pieces.
#include "limpetdrum/connection/Deflate.h"

#include <algorithm>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  constexpr std::size_t Most = 1U << 16U;
  if (Size < 1)
    return 0;
  std::size_t Piece = 1 + Data[0];
  const auto *Bytes = reinterpret_cast<const char *>(Data);
  limpetdrum::Inflater In;
  std::string Read;
  for (std::size_t At = 1; At < Size; At += Piece) {
    auto Before = Read.size();
    bool Taken =
        In.decompress(Bytes + At, std::min(Piece, Size - At), Most, Read);
    if (Read.size() - Before > Most)
      std::abort(); // more than it was allowed to
    if (!Taken)
      return 0;
  }
  return 0;
}
