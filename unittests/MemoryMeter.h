#ifndef LIMPETDRUM_UNITTESTS_MEMORYMETER_H
#define LIMPETDRUM_UNITTESTS_MEMORYMETER_H

#include <cstddef>

namespace limpetdrum::test {

/// \brief Counts the bytes that the tests allocate, by operator new and in
///   libevent's buffers.
class MemoryMeter {
public:
  /// Starts to measure.
  MemoryMeter() noexcept;
  /// Returns the most bytes held since the start, beyond those held then.
  [[nodiscard]] std::size_t peak() const noexcept;

private:
  std::ptrdiff_t Before;
};

} // namespace limpetdrum::test

#endif
