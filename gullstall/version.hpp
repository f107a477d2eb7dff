#ifndef GULLSTALL_VERSION_HPP
#define GULLSTALL_VERSION_HPP

namespace gullstall {

/// Version of the library and its programs.
inline constexpr const char *version = "0.1.0";

}  // namespace gullstall

#endif
