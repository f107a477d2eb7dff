#ifndef GULLSTALL_BUNDLE_CANONICAL_HPP
#define GULLSTALL_BUNDLE_CANONICAL_HPP

#include <string>
#include <string_view>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Writes INI text in its canonical form: no comments, `key = value` lines,
/// section [bundle] first, the others and all keys sorted. Texts with the same
/// content have the same canonical bytes, so digests compare content.
/// \returns the canonical text, or what parse_ini finds
result<std::string> canonical_text(const std::string &name, std::string_view text);

}  // namespace gullstall

#endif
