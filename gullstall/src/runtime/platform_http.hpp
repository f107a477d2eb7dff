#ifndef GULLSTALL_RUNTIME_PLATFORM_HTTP_HPP
#define GULLSTALL_RUNTIME_PLATFORM_HTTP_HPP

#include <boost/asio/awaitable.hpp>
#include <string>

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/platform/request.hpp"
#include "gullstall/src/runtime/http_client.hpp"

namespace gullstall::runtime {

/// \returns \a what as an HTTP request to the platform's service
http_request encode_platform_request(const platform_request &what);

/// Reads an HTTP request to the platform's service; for stand-ins.
result<platform_request> decode_platform_request(const http_request &request);

/// \returns \a answer as an HTTP response of the platform's service; for stand-ins
http_response encode_platform_answer(const platform_answer &answer);

/// Reads the outcome of an exchange with the platform's service.
platform_answer decode_platform_answer(const exchange &it);

/// Asks the platform and waits for the answer.
boost::asio::awaitable<platform_answer> ask_over_http(http_client &client, platform_request what,
                                                      duration timeout);

}  // namespace gullstall::runtime

#endif
