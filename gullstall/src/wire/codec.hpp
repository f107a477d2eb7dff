#ifndef GULLSTALL_WIRE_CODEC_HPP
#define GULLSTALL_WIRE_CODEC_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "gullstall/generated/wire_generated.h"
#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Largest frame that is sent or taken, bytes without the length in front.
constexpr std::size_t max_frame_bytes = 32U << 20U;

/// Bytes of the length that stands before each frame (little endian).
constexpr std::size_t frame_prefix_bytes = 4;

/// \returns the frame with its length in front
std::string encode_frame(const wire::frame_message &it);

/// Reads a frame without its length; the verifier runs over every byte that is
/// used.
/// \returns the frame, or bad_syntax
result<wire::frame_message> decode_frame(std::string_view bytes);

/// Reads the length in front of a frame.
/// \returns the length, or too_large for one above max_frame_bytes
result<std::size_t> decode_prefix(std::string_view prefix);

/// \returns a deep copy; frames themselves only move
wire::frame_message copy_frame(const wire::frame_message &it);

}  // namespace gullstall

#endif
