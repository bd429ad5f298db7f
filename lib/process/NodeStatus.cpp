#include "limpetdrum/process/NodeStatus.h"

#include <tuple>

namespace limpetdrum {

bool isLater(const TargetRecord &New, const TargetRecord &Old) noexcept {
  return std::tie(New.Started, New.Sequence) >
         std::tie(Old.Started, Old.Sequence);
}

} // namespace limpetdrum
