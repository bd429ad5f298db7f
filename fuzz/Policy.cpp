// Fuzzes the decoder of traffic policies, and looks up what it accepts.
#include "Adapter.h"

#include "limpetdrum/process/Error.h"

#include <cmath>
#include <cstdlib>

namespace {

using namespace limpetdrum;

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

void checkOrganisations(const TrafficPolicy &Policy) {
  const auto &Owners = Policy.organisations();
  for (const auto &Owner : Owners.entries()) {
    require(!Owner.Name.value().empty());
    require(std::isfinite(Owner.RatePerSecond) && Owner.RatePerSecond >= 0);
    require(std::isfinite(Owner.Burst) && Owner.Burst >= 0);
    require(Owners.find(Owner.Name) == &Owner);
    for (const auto &Key : Owner.Keys)
      require(!Key.empty() && Owners.findByKey(Key) == &Owner);
    for (const auto &Route : Policy.routes())
      require(Policy.rank(Route, &Owner).value() < MaxRanks);
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  static const platform::Adapter Decoder;
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  try {
    checkOrganisations(*Decoder.decodePolicy(Text));
  } catch (const Error &) {
    return 0; // the policy was refused: the expected error
  }
  return 0;
}
