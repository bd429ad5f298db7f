#ifndef LIMPETDRUM_PROCESS_MEMORYBUDGET_H
#define LIMPETDRUM_PROCESS_MEMORYBUDGET_H

#include <cstddef>
#include <memory>
#include <optional>

namespace limpetdrum {

/// \brief Bytes that a process may hold in messages.
///
/// Their lengths are chosen by clients, targets and other nodes, so nothing
/// else bounds their sum.
class MemoryBudget {
  struct Account {
    std::size_t Limit;
    std::size_t Used = 0;
  };

public:
  /// \brief Part of the budget, given back when it is destroyed.
  class Share {
  public:
    Share() = default;
    Share(Share &&Other) noexcept;
    Share &operator=(Share &&Other) noexcept;
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;
    ~Share();

    [[nodiscard]] std::size_t bytes() const noexcept { return this->Bytes; }
    /// \brief Adds a share of the same budget to this one.
    void grow(Share Added) noexcept;

  private:
    friend class MemoryBudget;
    Share(std::shared_ptr<Account> Source, std::size_t Bytes) noexcept;

    std::shared_ptr<Account> Source;
    std::size_t Bytes = 0;
  };

  /// \param Limit in bytes.
  explicit MemoryBudget(std::size_t Limit);

  [[nodiscard]] std::size_t used() const noexcept { return this->State->Used; }
  [[nodiscard]] std::size_t limit() const noexcept {
    return this->State->Limit;
  }
  /// \returns nothing if the budget is used up or does not have them.
  [[nodiscard]] std::optional<Share> take(std::size_t Bytes);

private:
  std::shared_ptr<Account> State;
};

} // namespace limpetdrum

#endif
