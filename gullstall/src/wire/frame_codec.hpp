#ifndef GULLSTALL_WIRE_FRAME_CODEC_HPP
#define GULLSTALL_WIRE_FRAME_CODEC_HPP

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Largest frame that is sent or taken, bytes without the length in front.
constexpr std::size_t max_frame_bytes = 32U << 20U;

/// Bytes of the length that stands before each frame (little endian).
constexpr std::size_t frame_prefix_bytes = 4;

/// Reads the length in front of a frame.
/// \returns the length, or too_large for one above max_frame_bytes
result<std::size_t> decode_prefix(std::string_view prefix);

/// \returns the length in front of a frame of \a n bytes
std::string encode_prefix(std::size_t n);

/// \returns \a frame, a root table of the schema, with its length in front
template <class Table>
std::string encode_frame_of(const typename Table::NativeTableType &frame)
{
    constexpr std::size_t initial_buffer_bytes = 1024;
    flatbuffers::FlatBufferBuilder builder(initial_buffer_bytes);
    builder.Finish(Table::Pack(builder, &frame));
    std::size_t n = builder.GetSize();
    std::string out = encode_prefix(n);
    out.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), n);
    return out;
}

/// Reads a frame without its length; the verifier runs over every byte that is
/// used.
/// \returns the frame, or bad_syntax
template <class Table>
result<typename Table::NativeTableType> decode_frame_of(std::string_view bytes)
{
    constexpr int verifier_depth = 16;
    constexpr int verifier_tables = 100000;
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), verifier_depth, verifier_tables);
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return error{error_code::bad_syntax, "frame: does not pass the verifier"};
    }
    typename Table::NativeTableType out;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&out);
    if (out.payload.value == nullptr) {
        return error{error_code::bad_syntax, "frame: no payload"};
    }
    return out;
}

}  // namespace gullstall

#endif
