// Fuzzes the decompression of peer connections with input split into pieces.
#include "limpetdrum/connection/Deflate.h"

#include <algorithm>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  constexpr std::size_t MaxOutputBytes = 1U << 16U;
  if (Size < 1)
    return 0;
  std::size_t PieceSize = 1 + Data[0];
  const auto *Bytes = reinterpret_cast<const char *>(Data);
  limpetdrum::Inflater Inflater;
  std::string Output;
  for (std::size_t Offset = 1; Offset < Size; Offset += PieceSize) {
    auto SizeBefore = Output.size();
    bool Accepted =
        Inflater.decompress(Bytes + Offset, std::min(PieceSize, Size - Offset),
                            MaxOutputBytes, Output);
    if (Output.size() - SizeBefore > MaxOutputBytes)
      std::abort(); // one call exceeded its output limit
    if (!Accepted)
      return 0;
  }
  return 0;
}
