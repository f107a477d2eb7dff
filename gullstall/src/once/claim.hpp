#ifndef GULLSTALL_ONCE_CLAIM_HPP
#define GULLSTALL_ONCE_CLAIM_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gullstall/generated/wire_generated.h"
#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Who may run, or ran, the call of one key: the schema's claim_row table.
using claim_row = wire::claim_row_message;

/// Prefix of the table's rows that hold claims.
inline constexpr const char *claim_row_prefix = "once/";

/// Longest answer that is kept for repeats, bytes.
constexpr std::size_t max_kept_body_bytes = 16384;

/// \returns the value of the claim's row in the table
std::string encode_claim(const claim_row &it);

/// Reads the value of a claim's row, or bad_syntax.
result<claim_row> decode_claim(std::string_view bytes);

/// \returns the digest that tells two requests with the same key apart
std::string digest_of_request(const std::string &service, const std::string &operation,
                              const std::vector<std::uint8_t> &body);

}  // namespace gullstall

#endif
