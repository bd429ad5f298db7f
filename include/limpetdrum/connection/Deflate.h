#ifndef LIMPETDRUM_CONNECTION_DEFLATE_H
#define LIMPETDRUM_CONNECTION_DEFLATE_H

#include <cstddef>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief Compresses a stream of messages and flushes it after each message.
class Deflater {
public:
  /// \throws std::bad_alloc if the stream cannot be allocated.
  Deflater();
  ~Deflater();
  Deflater(const Deflater &) = delete;
  Deflater &operator=(const Deflater &) = delete;

  /// \returns the bytes from which an Inflater restores \p Message.
  [[nodiscard]] std::string compress(const std::string &Message);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief Decompresses the output of a Deflater.
class Inflater {
public:
  /// \throws std::bad_alloc if the stream cannot be allocated.
  Inflater();
  ~Inflater();
  Inflater(const Inflater &) = delete;
  Inflater &operator=(const Inflater &) = delete;

  /// \brief Decompresses \p Bytes and appends the result to \p Output.
  /// \param MaxOutputBytes the most bytes that may be appended. A few input
  ///   bytes can expand to very many.
  /// \returns false if \p Bytes do not continue the stream, or expand to more
  ///   than \p MaxOutputBytes.
  [[nodiscard]] bool decompress(const char *Bytes, std::size_t Size,
                                std::size_t MaxOutputBytes,
                                std::string &Output);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
