#include "limpetdrum/connection/Deflate.h"

#include <array>
#include <new>
#include <zlib.h>

namespace limpetdrum {

namespace {

// The data that repeats are the names and headers of messages, some 400 bytes
// each. A window of 2 KiB holds a few of them and keeps the memory of a stream
// at 12 KB for the Deflater and 9 KB for the Inflater.
constexpr int WindowBits = 11;
constexpr int MemoryLevel = 3;
constexpr std::size_t ChunkBytes = 4096;

// zlib takes its input as a pointer to non-const but does not modify it.
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

bool Inflater::decompress(const char *Bytes, std::size_t Size,
                          std::size_t MaxOutputBytes, std::string &Output) {
  auto &Stream = this->Impl->Stream;
  Stream.next_in = asInput(Bytes);
  Stream.avail_in = static_cast<uInt>(Size);
  std::array<char, ChunkBytes> Chunk;
  std::size_t Added = 0;
  do {
    Stream.next_out = reinterpret_cast<Bytef *>(Chunk.data());
    Stream.avail_out = ChunkBytes;
    auto Outcome = inflate(&Stream, Z_SYNC_FLUSH);
    auto Produced = ChunkBytes - Stream.avail_out;
    // Z_BUF_ERROR without output means that all input was consumed. The stream
    // has no end, so Z_STREAM_END is an error.
    bool Valid = Outcome == Z_OK || (Outcome == Z_BUF_ERROR && Produced == 0);
    Added += Produced;
    if (!Valid || Added > MaxOutputBytes)
      return false;
    Output.append(Chunk.data(), Produced);
  } while (Stream.avail_out == 0);
  return true;
}

} // namespace limpetdrum
