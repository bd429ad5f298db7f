#ifndef LIMPETDRUM_CONNECTION_BODYPARTS_H
#define LIMPETDRUM_CONNECTION_BODYPARTS_H

#include "limpetdrum/process/AnswerMemory.h"
#include "limpetdrum/process/Body.h"
#include "limpetdrum/process/Types.h"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace limpetdrum {

/// \brief Bodies that are sent over a link in parts, in turn.
///
/// Performs no I/O.
class BodySender {
public:
  struct Part {
    std::uint64_t Call;
    std::string_view Bytes; ///< valid until the sender is changed
  };

  /// \brief Adds a body, whose parts are sent in turn with those of the others.
  void add(std::uint64_t Call, Body Content);
  /// \brief Removes a body that is no longer needed, if there is one.
  void cancel(std::uint64_t Call);
  [[nodiscard]] bool empty() const noexcept { return this->Queue.empty(); }
  [[nodiscard]] std::size_t unsentBytes() const noexcept;
  /// \brief Returns the next part; there must be one.
  [[nodiscard]] Part next();

private:
  struct Outgoing {
    std::uint64_t Call;
    Body Content;
    std::size_t Sent = 0;
  };

  /// Body whose last part was returned; its bytes are still referred to.
  Body Last;
  std::deque<Outgoing> Queue;
};

/// \brief Bodies that arrive over a link in parts.
///
/// Performs no I/O.
class BodyReceiver {
public:
  struct Complete {
    std::vector<unsigned char> Message; ///< that the body belongs to
    Body Content;
    Microseconds Duration; ///< from the message to the last part
    /// There was no memory for a part; the body is empty.
    bool ExceedsMemory = false;
  };

  /// \brief Memory for a body: taken before, or taken as it arrives from the
  ///   budget of attempts, or for a reply that may still be given up.
  using Memory = std::variant<MemoryBudget::Share, MemoryBudget *,
                              std::unique_ptr<AnswerMemory::Receipt>>;

  /// \brief Expects the body of a message.
  /// \param Deadline after which the body is no longer needed.
  /// \returns false if there is no memory for the message.
  bool begin(std::uint64_t Call, std::size_t Bytes,
             std::vector<unsigned char> Message, Memory Held, TimePoint Now,
             TimePoint Deadline = TimePoint::max());
  /// \brief Adds a part. Parts of bodies that are not expected are ignored.
  /// \returns the message if its body is complete or exceeds the memory.
  /// \throws ValueError if the body becomes longer than announced.
  [[nodiscard]] std::optional<Complete>
  append(std::uint64_t Call, std::string_view Bytes, TimePoint Now);
  /// \brief Forgets a body that is no longer needed, if there is one.
  void drop(std::uint64_t Call) { this->Incoming.erase(Call); }
  /// \brief Forgets the bodies whose deadline has passed.
  void dropOverdue(TimePoint Now);
  /// \brief Frees a body that was given up, and ignores its further parts.
  /// \returns its message; empty if it is not expected.
  [[nodiscard]] std::vector<unsigned char> giveUp(std::uint64_t Call);
  [[nodiscard]] bool empty() const noexcept { return this->Incoming.empty(); }

private:
  struct Partial {
    std::size_t Bytes = 0;
    std::vector<unsigned char> Message;
    Memory Source;
    MemoryBudget::Share Held; ///< taken from a budget
    std::size_t Taken = 0;    ///< for the body
    TimePoint BeganAt;
    TimePoint Deadline;
    std::string Text;

    /// \returns false if there is no memory for the bytes.
    [[nodiscard]] bool take(std::size_t Added);
    /// Makes room for bytes of the body.
    /// \returns false if there is no memory for them.
    [[nodiscard]] bool grow(std::size_t Added);
  };

  std::map<std::uint64_t, Partial> Incoming; ///< by call
};

} // namespace limpetdrum

#endif
