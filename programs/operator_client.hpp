#ifndef GULLSTALL_PROGRAMS_OPERATOR_CLIENT_HPP
#define GULLSTALL_PROGRAMS_OPERATOR_CLIENT_HPP

#include <string>

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/platform/request.hpp"
#include "gullstall/src/settings/node_settings.hpp"

/// Blocking exchanges of the operators' command.
namespace gullstall::programs {

/// Reads "address:port".
result<endpoint> parse_endpoint(const std::string &text);

/// \returns the page \a target of an admin port
result<std::string> fetch_page(const endpoint &from, const std::string &target);

/// Asks the platform and waits for the answer.
platform_answer ask_platform_now(const endpoint &platform, const platform_request &what);

/// \returns the content of a file
result<std::string> read_file(const std::string &name);

/// Writes a file.
result<done> write_file(const std::string &name, const std::string &content);

}  // namespace gullstall::programs

#endif
