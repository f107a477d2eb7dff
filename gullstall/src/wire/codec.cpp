#include "gullstall/src/wire/codec.hpp"

#include <array>

namespace gullstall {

namespace {

constexpr std::size_t initial_buffer_bytes = 1024;
constexpr unsigned bits_per_byte = 8;
constexpr int verifier_depth = 16;
constexpr int verifier_tables = 100000;

result<wire::frame_message> unpack(const void *bytes)
{
    wire::frame_message out;
    flatbuffers::GetRoot<wire::frame>(bytes)->UnPackTo(&out);
    if (out.payload.type == wire::payload::NONE || out.payload.value == nullptr) {
        return error{error_code::bad_syntax, "frame: no payload"};
    }
    return out;
}

}  // namespace

std::string encode_frame(const wire::frame_message &it)
{
    flatbuffers::FlatBufferBuilder builder(initial_buffer_bytes);
    builder.Finish(wire::frame::Pack(builder, &it));
    std::size_t n = builder.GetSize();
    std::string out;
    out.reserve(frame_prefix_bytes + n);
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
        out.push_back(static_cast<char>((n >> (bits_per_byte * i)) & 0xffU));
    }
    out.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), n);
    return out;
}

result<wire::frame_message> decode_frame(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), verifier_depth, verifier_tables);
    if (!verifier.VerifyBuffer<wire::frame>(nullptr)) {
        return error{error_code::bad_syntax, "frame: does not pass the verifier"};
    }
    return unpack(data);
}

result<std::size_t> decode_prefix(std::string_view prefix)
{
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
