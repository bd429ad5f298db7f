#ifndef LIMPETDRUM_CONNECTION_FRAMERECEIVER_H
#define LIMPETDRUM_CONNECTION_FRAMERECEIVER_H

#include "limpetdrum/process/AnswerMemory.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace limpetdrum {

/// \brief Messages that arrive in pieces, each preceded by its length.
///
/// What is kept of an incomplete message has taken memory before. Performs no
/// I/O.
class FrameReceiver {
public:
  enum class Result : std::uint8_t {
    NeedMore,
    Complete,
    TooLong,
    NoMemory, ///< given up, then or earlier; no further bytes are read
  };
  static constexpr std::size_t LengthBytes = 4;

  /// \param OnGivenUp called if a message is given up in favour of another; its
  ///   bytes have been freed then.
  explicit FrameReceiver(std::function<void()> OnGivenUp);

  /// \brief Sets the limits on the next messages.
  /// \param MaxBytes length of a message.
  /// \param Memory for incomplete messages; null: no limit.
  void setLimits(std::size_t MaxBytes, AnswerMemory *Memory) noexcept;
  [[nodiscard]] std::size_t maxBytes() const noexcept { return this->MaxBytes; }
  /// \brief Reads bytes up to the end of a message.
  /// \param Input bytes that are read are removed from it.
  [[nodiscard]] Result read(std::string_view &Input);
  /// \brief Returns the complete message: valid until drop(), and as long as
  /// the
  ///   input from which it was read.
  [[nodiscard]] std::string_view message() const noexcept {
    return this->Message;
  }
  /// \brief Frees the complete message.
  void drop() noexcept;

private:
  /// \returns false if the length is not complete yet.
  bool readLength(std::string_view &Input);
  /// Makes room for bytes of an incomplete message.
  /// \returns false if there is no memory for them.
  [[nodiscard]] bool grow(std::size_t Added);
  std::function<void()> OnGivenUp;
  std::size_t MaxBytes = 0;
  AnswerMemory *Memory = nullptr;
  std::array<unsigned char, LengthBytes> Length{};
  std::size_t LengthRead = 0;
  std::size_t Size = 0; ///< of the message, once its length is complete
  std::string Partial;
  std::string_view Message;
  std::unique_ptr<AnswerMemory::Receipt> Receipt; ///< of Partial
  bool IsGivenUp = false;
};

} // namespace limpetdrum

#endif
