#ifndef LIMPETDRUM_CONNECTION_DEFLATE_H
#define LIMPETDRUM_CONNECTION_DEFLATE_H

#include <cstddef>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief Compresses a stream of messages, flushed after each of them.
class Deflater {
public:
  /// \throws std::bad_alloc if there is no memory for the stream.
  Deflater();
  ~Deflater();
  Deflater(const Deflater &) = delete;
  Deflater &operator=(const Deflater &) = delete;

  /// \returns the bytes that bring \p Message to the other end.
  [[nodiscard]] std::string compress(const std::string &Message);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief Reads what a Deflater has written.
class Inflater {
public:
  /// \throws std::bad_alloc if there is no memory for the stream.
  Inflater();
  ~Inflater();
  Inflater(const Inflater &) = delete;
  Inflater &operator=(const Inflater &) = delete;

  /// \brief Appends to \p Into what \p Bytes hold.
  /// \param Most bytes that may be appended; a few bytes can hold very many.
  /// \returns false if they are no such stream, or hold more.
  [[nodiscard]] bool decompress(const char *Bytes, std::size_t Size,
                                std::size_t Most, std::string &Into);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
