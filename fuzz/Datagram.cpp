// Feeds the decoder of the membership protocol.
#include "limpetdrum/daemon/Codec.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  std::string Bytes(reinterpret_cast<const char *>(Data), Size);
  auto Message = limpetdrum::codec::decode(Bytes);
  // What reads must also write, and read again.
  if (Message &&
      !limpetdrum::codec::decode(limpetdrum::codec::encode(*Message)))
    __builtin_trap();
  return 0;
}
