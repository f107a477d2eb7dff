#ifndef GULLSTALL_NODE_ACTION_HPP
#define GULLSTALL_NODE_ACTION_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/node/event.hpp"
#include "gullstall/src/platform/request.hpp"
#include "gullstall/src/settings/node_settings.hpp"
#include "gullstall/src/wire/codec.hpp"

namespace gullstall {

/// Final answer to a caller.
struct caller_answer
{
    wire::outcome outcome;
    wire::refusal refusal;
    std::string refused_by;  ///< service that refused the call, or empty
    std::string request_id;
    std::uint16_t status;          ///< status of the worker if outcome is ran, otherwise 0
    std::uint32_t retry_after_ms;  ///< suggested delay before a repeat; 0 for no suggestion
    std::uint64_t bundle_version;
    std::string content_type;
    body_bytes body;

    bool operator==(const caller_answer &) const = default;
};

/// Send the caller its final answer.
struct answer_call
{
    call_ref call;
    caller_answer answer;
};

/// Send a frame to another node.
struct send_frame
{
    std::string instance;  ///< if empty, whichever node listens at \a to (first contact)
    endpoint to;
    wire::frame_message frame;
};

/// Run a call on the local worker.
struct run_on_worker
{
    run_ref run;
    std::string request_id;
    std::string key;
    std::string context;  ///< the worker passes it on in the calls that it issues
    std::string operation;
    duration time_left;
    body_bytes body;
};

/// Cancel a run by closing its connection to the worker.
struct cancel_on_worker
{
    run_ref run;
};

/// Check whether the local worker accepts connections; the result comes as
/// worker_checked.
struct check_worker
{
};

/// Send a request to the platform; the answer comes as platform_answered.
struct request_platform
{
    platform_ref request;
    platform_request what;
};

/// Answer a request on the admin port.
struct answer_admin
{
    admin_ref question;
    std::uint16_t status;
    std::string content_type;
    std::string body;
};

/// Exit the process; nothing is in flight any more.
struct exit_process
{
};

/// Write a line to the log.
struct write_log
{
    enum class severity
    {
        info,
        warning
    };
    severity level;
    std::string part;  ///< component that writes the line
    std::string text;
};

/// Any action that step() returns.
using action = std::variant<answer_call, send_frame, run_on_worker, cancel_on_worker,
                            request_platform, answer_admin, exit_process, write_log, check_worker>;

/// Actions, to be carried out in this order.
using actions = std::vector<action>;

}  // namespace gullstall

#endif
