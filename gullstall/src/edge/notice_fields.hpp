#ifndef GULLSTALL_EDGE_NOTICE_FIELDS_HPP
#define GULLSTALL_EDGE_NOTICE_FIELDS_HPP

#include <boost/beast/http/fields.hpp>

#include "gullstall/src/edge/upstream_client.hpp"

namespace gullstall::edge {

/// \returns what the upstream says of itself in a response; of several limits the lowest
mesh::upstream_notice read_notice(const boost::beast::http::fields &fields,
                                  const header_names &names);

}  // namespace gullstall::edge

#endif
