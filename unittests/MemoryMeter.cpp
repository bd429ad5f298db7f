#include "MemoryMeter.h"

#include <algorithm>
#include <cstdlib>
#include <event2/event.h>
#include <malloc.h>
#include <new>

namespace {

std::size_t Held = 0;
std::size_t Highest = 0;

void *take(std::size_t Size) noexcept {
  auto *Result = std::malloc(std::max<std::size_t>(Size, 1));
  Held += malloc_usable_size(Result);
  Highest = std::max(Highest, Held);
  return Result;
}

void give(void *Bytes) noexcept {
  Held -= malloc_usable_size(Bytes);
  std::free(Bytes);
}

void *resize(void *Bytes, std::size_t Size) noexcept {
  auto Before = malloc_usable_size(Bytes);
  auto *Result = std::realloc(Bytes, Size);
  if (Result != nullptr) {
    Held += malloc_usable_size(Result) - Before;
    Highest = std::max(Highest, Held);
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

void operator delete(void *Bytes) noexcept { give(Bytes); }
void operator delete(void *Bytes, std::size_t /*Size*/) noexcept {
  give(Bytes);
}

namespace limpetdrum::test {

MemoryMeter::MemoryMeter() noexcept : Before(Held) { Highest = Held; }

std::size_t MemoryMeter::peak() const noexcept {
  return Highest - this->Before;
}

} // namespace limpetdrum::test
