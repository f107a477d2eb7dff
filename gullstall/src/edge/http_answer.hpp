#ifndef GULLSTALL_EDGE_HTTP_ANSWER_HPP
#define GULLSTALL_EDGE_HTTP_ANSWER_HPP

#include <cstdint>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/http_edge.hpp"

namespace gullstall::edge {

/// \returns the HTTP response: an upstream's response unchanged, otherwise an error
/// response with an optional Retry-After field in seconds
edge_answer to_http_response(mesh::caller_answer &&it);

/// \returns an error response of this node, without a body
edge_answer http_error(std::uint16_t status);

}  // namespace gullstall::edge

#endif
