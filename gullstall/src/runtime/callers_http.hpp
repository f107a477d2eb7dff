#ifndef GULLSTALL_RUNTIME_CALLERS_HTTP_HPP
#define GULLSTALL_RUNTIME_CALLERS_HTTP_HPP

#include <string>
#include <variant>

#include "gullstall/src/node/action.hpp"
#include "gullstall/src/node/event.hpp"
#include "gullstall/src/runtime/http_server.hpp"

/// The caller's interface over HTTP; docs/CALLERS.md describes it.
namespace gullstall::runtime {

/// Headers of the caller's interface and of the worker's.
namespace header {
inline constexpr const char *request_id = "Gullstall-Request-Id";
inline constexpr const char *time_left = "Gullstall-Time-Left-Ms";
inline constexpr const char *key = "Idempotency-Key";
inline constexpr const char *attempt = "Gullstall-Attempt";
inline constexpr const char *context = "Gullstall-Context";
inline constexpr const char *outcome = "Gullstall-Outcome";
inline constexpr const char *reason = "Gullstall-Reason";
inline constexpr const char *refused_by = "Gullstall-Refused-By";
inline constexpr const char *retry_after = "Gullstall-Retry-After-Ms";
inline constexpr const char *bundle_version = "Gullstall-Bundle-Version";
inline constexpr const char *slots = "Gullstall-Slots";
}  // namespace header

/// Asks for an idempotency key that this node issues.
struct key_request
{
};

/// What a request on the callers' port asks for.
using callers_request = std::variant<call_request, worker_announced, worker_leaving, key_request>;

/// Reads a request on the callers' port.
/// \returns what it asks for, or an error that names the header and what is allowed
result<callers_request> decode_callers_request(http_request &&request);

/// \returns the response that carries a final answer
http_response encode_caller_answer(caller_answer &&answer);

/// \returns the response to a request that could not be read
http_response encode_bad_request(const error &e);

/// \returns an empty response for a worker's own notices
http_response encode_notice_taken();

/// \returns the request that runs a call on the own worker
http_request encode_run(run_on_worker &&run);

}  // namespace gullstall::runtime

#endif
