// Fuzzes the decoder of membership datagrams.
#include "limpetdrum/daemon/Codec.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  std::string Bytes(reinterpret_cast<const char *>(Data), Size);
  auto Message = limpetdrum::codec::decode(Bytes);
  // Every decoded message must survive an encode and decode round trip.
  if (Message &&
      !limpetdrum::codec::decode(limpetdrum::codec::encode(*Message)))
    __builtin_trap();
  return 0;
}
