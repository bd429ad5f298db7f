#ifndef LIMPETDRUM_PROCESS_BODY_H
#define LIMPETDRUM_PROCESS_BODY_H

#include "limpetdrum/process/MemoryBudget.h"

#include <memory>
#include <ostream>
#include <string>

namespace limpetdrum {

/// \brief Immutable body of a request or an answer; copies share its bytes.
class Body {
public:
  Body() = default;
  // Implicit, so that a body can be written as a string.
  Body(std::string Text, MemoryBudget::Share Held = {}); // NOLINT
  Body(const char *Text) : Body(std::string(Text)) {}    // NOLINT

  [[nodiscard]] const std::string &text() const noexcept;
  operator const std::string &() const noexcept { // NOLINT
    return this->text();
  }
  [[nodiscard]] std::size_t size() const noexcept {
    return this->text().size();
  }
  [[nodiscard]] bool empty() const noexcept { return this->text().empty(); }
  /// \brief Returns an owner of the bytes, for buffers that refer to them.
  [[nodiscard]] std::shared_ptr<const void> owner() const noexcept {
    return this->Shared;
  }

  friend bool operator==(const Body &A, const char *B) noexcept {
    return A.text() == B;
  }
  friend bool operator==(const Body &A, const std::string &B) noexcept {
    return A.text() == B;
  }
  friend bool operator==(const Body &A, const Body &B) noexcept {
    return A.text() == B.text();
  }
  friend std::ostream &operator<<(std::ostream &Output, const Body &Value) {
    return Output << Value.text();
  }

private:
  struct Content {
    std::string Text;
    MemoryBudget::Share Held;
  };

  std::shared_ptr<const Content> Shared; ///< null if empty
};

} // namespace limpetdrum

#endif
