#ifndef GULLSTALL_EDGE_HTTP_ANSWER_HPP
#define GULLSTALL_EDGE_HTTP_ANSWER_HPP

#include <cstdint>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/http_edge.hpp"

namespace gullstall::edge {

/// \returns the answer as HTTP: the upstream's own as it came, another with its status
/// and the time to come back, in seconds
edge_answer http_answer(mesh::caller_answer &&it);

/// \returns an answer of the node's own without a body
edge_answer http_error(std::uint16_t status);

}  // namespace gullstall::edge

#endif
