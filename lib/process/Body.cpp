#include "limpetdrum/process/Body.h"

#include <utility>

namespace limpetdrum {

Body::Body(std::string Text, MemoryBudget::Share Held) {
  if (!Text.empty())
    this->Shared = std::make_shared<const Content>(
        Content{std::move(Text), std::move(Held)});
}

const std::string &Body::text() const noexcept {
  static const std::string Empty;
  return this->Shared ? this->Shared->Text : Empty;
}

} // namespace limpetdrum
