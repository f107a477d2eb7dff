/// Fuzz target of the frame reader: whatever bytes come, it refuses them or
/// gives a frame that encodes and reads again.

#include <cstdlib>

#include "gullstall/wire.hpp"

// The name is libFuzzer's.  NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (size >= gullstall::frame_prefix_bytes) {
        (void)gullstall::decode_prefix(bytes.substr(0, gullstall::frame_prefix_bytes));
    }
    auto read = gullstall::decode_frame(bytes);
    if (!gullstall::succeeded(read)) {
        return 0;
    }
    std::string again = gullstall::encode_frame(gullstall::value_of(read));
    auto twice =
        gullstall::decode_frame(std::string_view(again).substr(gullstall::frame_prefix_bytes));
    if (!gullstall::succeeded(twice)) {
        std::abort();
    }
    return 0;
}
