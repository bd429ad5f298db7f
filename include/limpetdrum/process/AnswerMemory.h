#ifndef LIMPETDRUM_PROCESS_ANSWERMEMORY_H
#define LIMPETDRUM_PROCESS_ANSWERMEMORY_H

#include "limpetdrum/process/MemoryBudget.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace limpetdrum {

/// \brief Memory for the answers that a process receives from others.
///
/// The others choose how much they send, and on how many connections, so an
/// answer takes memory before its bytes are kept. When the memory is used up,
/// the longest answer that is still being received is given up, first of the
/// long ones that have not announced their length: one that does not end makes
/// room for the others beside it. Complete answers are kept until they are
/// delivered.
class AnswerMemory {
  struct State;

public:
  /// \brief Memory of one answer while it is received.
  class Receipt {
  public:
    /// \param OnGivenUp called once if the answer is given up in favour of
    ///   another, and has to free its bytes. May destroy this receipt.
    Receipt(AnswerMemory &Owner, std::function<void()> OnGivenUp);
    ~Receipt();
    Receipt(const Receipt &) = delete;
    Receipt &operator=(const Receipt &) = delete;

    /// \brief States that the answer has announced its length.
    void setAnnounced() noexcept { this->IsAnnounced = true; }
    /// \returns false if the answer has been given up.
    [[nodiscard]] bool take(std::size_t Bytes);
    /// \brief Ends the receipt of a complete answer.
    /// \returns its memory.
    [[nodiscard]] MemoryBudget::Share complete();
    [[nodiscard]] std::size_t bytes() const noexcept {
      return this->Held.bytes();
    }

  private:
    friend struct State;
    void giveUp();

    std::shared_ptr<State> Owner;
    std::function<void()> OnGivenUp;
    MemoryBudget::Share Held;
    bool IsAnnounced = false;
    bool GivenUp = false;
  };

  /// \param Limit in bytes.
  explicit AnswerMemory(std::size_t Limit);

  [[nodiscard]] std::size_t used() const noexcept;
  [[nodiscard]] std::size_t limit() const noexcept;
  /// \brief Returns the number of answers given up so far.
  [[nodiscard]] std::uint64_t givenUp() const noexcept;
  /// \brief Returns true if complete answers that wait to be delivered leave
  ///   too little for those that are yet to come.
  [[nodiscard]] bool isScarce() const noexcept;

private:
  std::shared_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
