#ifndef GULLSTALL_TEST_SUPPORT_UPSTREAM_ORDERS_HPP
#define GULLSTALL_TEST_SUPPORT_UPSTREAM_ORDERS_HPP

#include "gullstall/src/edge/upstream_client.hpp"

namespace gullstall::test {

/// Field names of the tests of an upstream_client.
inline const edge::header_names short_names{"Id",      "Left",     "Expect", "Caller",
                                            "Not-Run", "Customer", "Limit",  "Leaving"};

/// \returns the start of a run of a GET request that waits for a second
inline mesh::start_run make_order(std::uint64_t run, const std::string &request_id,
                                  const std::string &target = "/")
{
    mesh::start_run out;
    out.run = run_ref{run};
    out.call.request_id = request_id;
    out.call.method = "GET";
    out.call.target = target;
    out.call.header_lines = "Id: " + request_id + "\r\n";
    out.upstream = "u";
    out.left = seconds(1);
    return out;
}

}  // namespace gullstall::test

#endif
