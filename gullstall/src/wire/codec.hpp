#ifndef GULLSTALL_WIRE_CODEC_HPP
#define GULLSTALL_WIRE_CODEC_HPP

#include <string>
#include <string_view>

#include "gullstall/generated/wire_generated.h"
#include "gullstall/src/wire/frame_codec.hpp"

namespace gullstall {

/// \returns the frame with its length in front
std::string encode_frame(const wire::frame_message &it);

/// Reads a frame without its length.
/// \returns the frame, or bad_syntax
result<wire::frame_message> decode_frame(std::string_view bytes);

/// \returns a deep copy; frames themselves only move
wire::frame_message copy_frame(const wire::frame_message &it);

}  // namespace gullstall

#endif
