#ifndef GULLSTALL_RUNTIME_CALLER_CLIENT_HPP
#define GULLSTALL_RUNTIME_CALLER_CLIENT_HPP

#include <memory>
#include <vector>

#include "gullstall/caller.hpp"
#include "gullstall/src/core/random.hpp"
#include "gullstall/src/runtime/http_client.hpp"
#include "gullstall/src/settings/node_settings.hpp"

namespace gullstall::runtime {

/// \returns \a request as an HTTP request on a node's callers' port
http_request encode_caller_call(const call_request &request);

/// Reads the outcome of an exchange with a node's callers' port.
caller_answer decode_caller_answer(const call_request &request, exchange &&it);

/// Client of the caller's interface: sends requests to any of several nodes and
/// repeats them as plan_repeat() says, each try at another node.
class caller_client
{
public:
    /// \param nodes endpoints of callers' ports, at least one
    /// \param seed of the choice of nodes
    caller_client(boost::asio::io_context &io, const std::vector<endpoint> &nodes,
                  repeat_policy policy, std::uint64_t seed);

    /// Sends \a request until its answer is final.
    /// \param idempotent whether the call may run twice
    boost::asio::awaitable<caller_answer> call(call_request request, bool idempotent);

private:
    boost::asio::io_context &io_;
    repeat_policy policy_;
    random_source random_;
    std::vector<std::unique_ptr<http_client>> clients_;
};

}  // namespace gullstall::runtime

#endif
