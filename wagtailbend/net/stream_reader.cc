#include "wagtailbend/net/stream_reader.h"

#include <array>

#include <asio/buffer.hpp>
#include <asio/error.hpp>

namespace wagtailbend::net {
namespace {

// Larger than most messages, so that one system call usually suffices.
constexpr size_t kReadBufferBytes = 64UL * 1024;

} // namespace

ReadResult
ReadAvailable(asio::ip::tcp::socket& aSocket)
{
  static thread_local std::array<char, kReadBufferBytes> buffer;
  std::error_code code;
  const size_t count = aSocket.read_some(asio::buffer(buffer), code);
  if (code == asio::error::would_block || code == asio::error::try_again) {
    return { ReadStatus::kWouldBlock, {} };
  }
  if (code) {
    return { code == asio::error::eof ? ReadStatus::kEndOfStream
                                      : ReadStatus::kError,
             {} };
  }
  return { ReadStatus::kBytes, { buffer.data(), count } };
}

} // namespace wagtailbend::net
