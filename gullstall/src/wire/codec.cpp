#include "gullstall/src/wire/codec.hpp"

namespace gullstall {

std::string encode_frame(const wire::frame_message &it)
{
    return encode_frame_of<wire::frame>(it);
}

result<wire::frame_message> decode_frame(std::string_view bytes)
{
    return decode_frame_of<wire::frame>(bytes);
}

std::string encode_prefix(std::size_t n)
{
    constexpr unsigned bits_per_byte = 8;
    std::string out;
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
        out.push_back(static_cast<char>((n >> (bits_per_byte * i)) & 0xffU));
    }
    return out;
}

result<std::size_t> decode_prefix(std::string_view prefix)
{
    constexpr unsigned bits_per_byte = 8;
    std::size_t n = 0;
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
        n |= static_cast<std::size_t>(static_cast<unsigned char>(prefix[i])) << (bits_per_byte * i);
    }
    if (n > max_frame_bytes) {
        return error{error_code::too_large, "frame: found " + std::to_string(n) +
                                                " bytes, allowed are " +
                                                std::to_string(max_frame_bytes)};
    }
    return n;
}

wire::frame_message copy_frame(const wire::frame_message &it)
{
    std::string encoded = encode_frame(it);
    std::string_view bytes(encoded);
    bytes.remove_prefix(frame_prefix_bytes);
    return value_of(decode_frame(bytes));
}

}  // namespace gullstall
