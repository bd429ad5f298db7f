#include "MemoryMeter.h"

#include <algorithm>
#include <cstdlib>
#include <event2/event.h>
#include <malloc.h>
#include <new>

namespace {

// Signed, because what was allocated before the meter may be freed later.
std::ptrdiff_t Held = 0;
std::ptrdiff_t Highest = 0;

void add(std::size_t Size) noexcept {
  Held += static_cast<std::ptrdiff_t>(Size);
  Highest = std::max(Highest, Held);
}

void subtract(std::size_t Size) noexcept {
  Held -= static_cast<std::ptrdiff_t>(Size);
}

void *take(std::size_t Size) noexcept {
  auto *Result = std::malloc(std::max<std::size_t>(Size, 1));
  if (Result != nullptr)
    add(malloc_usable_size(Result));
  return Result;
}

void give(void *Bytes) noexcept {
  subtract(malloc_usable_size(Bytes));
  std::free(Bytes);
}

void *resize(void *Bytes, std::size_t Size) noexcept {
  auto Before = malloc_usable_size(Bytes);
  auto *Result = std::realloc(Bytes, Size);
  if (Result != nullptr) {
    subtract(Before);
    add(malloc_usable_size(Result));
  }
  return Result;
}

// libevent takes these functions before its first use.
[[maybe_unused]] const bool IsLibeventMetered = []() {
  event_set_mem_functions(take, resize, give);
  return true;
}();

} // namespace

void *operator new(std::size_t Size) {
  if (auto *Result = take(Size))
    return Result;
  throw std::bad_alloc();
}

// A sanitizer has its own version of it, which would not match the deletes.
void *operator new(std::size_t Size, const std::nothrow_t & /*Tag*/) noexcept {
  return take(Size);
}

void operator delete(void *Bytes) noexcept { give(Bytes); }
void operator delete(void *Bytes, std::size_t /*Size*/) noexcept {
  give(Bytes);
}

namespace limpetdrum::test {

MemoryMeter::MemoryMeter() noexcept : Before(Held) { Highest = Held; }

std::size_t MemoryMeter::peak() const noexcept {
  return static_cast<std::size_t>(Highest - this->Before);
}

} // namespace limpetdrum::test
