#include "knapweedpaddle/common/Compression.h"

#include <array>
#include <zlib.h>

namespace knapweedpaddle {

std::string
Compress(const std::string& aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::string out(size, '\0');
  compress2(reinterpret_cast<Bytef*>(out.data()),
            &size,
            reinterpret_cast<const Bytef*>(aBytes.data()),
            aBytes.size(),
            Z_BEST_SPEED);
  out.resize(size);
  return out;
}

std::optional<std::string>
Decompress(const std::string& aBytes, std::size_t aLimit)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string out;
  std::array<char, 16384> buf{};
  int result = Z_OK;
  while (result == Z_OK && out.size() <= aLimit) {
    stream.next_out = reinterpret_cast<Bytef*>(buf.data());
    stream.avail_out = buf.size();
    result = inflate(&stream, Z_NO_FLUSH);
    out.append(buf.data(), buf.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || out.size() > aLimit) {
    return std::nullopt;
  }
  return out;
}

} // namespace knapweedpaddle
