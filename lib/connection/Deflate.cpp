#include "limpetdrum/connection/Deflate.h"

#include <array>
#include <new>
#include <zlib.h>

namespace limpetdrum {

namespace {

/// What repeats are the names and headers of messages, some 400 bytes each: a
/// window of 2 KiB holds a few of them, and a stream takes 12 KB and 9 KB at
/// its two ends.
constexpr int WindowBits = 11;
constexpr int MemoryLevel = 3;
constexpr std::size_t ChunkBytes = 4096;

// The interface of zlib takes bytes that it does not change by this type.
Bytef *asInput(const char *Bytes) {
  return reinterpret_cast<Bytef *>(const_cast<char *>(Bytes));
}

} // namespace

struct Deflater::State {
  z_stream Stream{};
};

Deflater::Deflater() : Impl(std::make_unique<State>()) {
  if (deflateInit2(&this->Impl->Stream, Z_BEST_SPEED, Z_DEFLATED, -WindowBits,
                   MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    throw std::bad_alloc();
}

Deflater::~Deflater() { deflateEnd(&this->Impl->Stream); }

std::string Deflater::compress(const std::string &Message) {
  auto &Stream = this->Impl->Stream;
  Stream.next_in = asInput(Message.data());
  Stream.avail_in = static_cast<uInt>(Message.size());
  std::string Result;
  std::array<char, ChunkBytes> Chunk;
  do {
    Stream.next_out = reinterpret_cast<Bytef *>(Chunk.data());
    Stream.avail_out = ChunkBytes;
    deflate(&Stream, Z_SYNC_FLUSH);
    Result.append(Chunk.data(), ChunkBytes - Stream.avail_out);
  } while (Stream.avail_out == 0);
  return Result;
}

struct Inflater::State {
  z_stream Stream{};
};

Inflater::Inflater() : Impl(std::make_unique<State>()) {
  if (inflateInit2(&this->Impl->Stream, -WindowBits) != Z_OK)
    throw std::bad_alloc();
}

Inflater::~Inflater() { inflateEnd(&this->Impl->Stream); }

bool Inflater::decompress(const char *Bytes, std::size_t Size, std::size_t Most,
                          std::string &Into) {
  auto &Stream = this->Impl->Stream;
  Stream.next_in = asInput(Bytes);
  Stream.avail_in = static_cast<uInt>(Size);
  std::array<char, ChunkBytes> Chunk;
  std::size_t Added = 0;
  do {
    Stream.next_out = reinterpret_cast<Bytef *>(Chunk.data());
    Stream.avail_out = ChunkBytes;
    auto Outcome = inflate(&Stream, Z_SYNC_FLUSH);
    auto Made = ChunkBytes - Stream.avail_out;
    // All input taken and nothing made is no error; an end would be.
    bool Goes = Outcome == Z_OK || (Outcome == Z_BUF_ERROR && Made == 0);
    Added += Made;
    if (!Goes || Added > Most)
      return false;
    Into.append(Chunk.data(), Made);
  } while (Stream.avail_out == 0);
  return true;
}

} // namespace limpetdrum
