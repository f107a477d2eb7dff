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
    std::string refused_by;  ///< service that refused, empty when none did
    std::string request_id;
    std::uint16_t status;          ///< worker's status when outcome is ran, else 0
    std::uint32_t retry_after_ms;  ///< when to come back, 0: no advice
    std::uint64_t bundle_version;
    std::string content_type;
    body_bytes body;

    bool operator==(const caller_answer &) const = default;
};

/// Answer the caller, finally.
struct answer_call
{
    call_ref call;
    caller_answer answer;
};

/// Send a frame to another node.
struct send_frame
{
    std::string instance;  ///< empty: whoever listens at \a to (first contact)
    endpoint to;
    wire::frame_message frame;
};

/// Run a call on the own worker.
struct run_on_worker
{
    run_ref run;
    std::string request_id;
    std::string key;
    std::string context;  ///< to be passed on by the worker in its own calls
    std::string operation;
    duration time_left;
    body_bytes body;
};

/// Break off a run; the worker sees its connection close.
struct cancel_on_worker
{
    run_ref run;
};

/// Find out whether the own worker takes connections; answered by
/// worker_checked.
struct check_worker
{
};

/// Ask the platform.
struct ask_platform
{
    platform_ref request;
    platform_request what;
};

/// Answer a question on the admin port.
struct answer_admin
{
    admin_ref question;
    std::uint16_t status;
    std::string content_type;
    std::string body;
};

/// Everything in flight is finished: the process may end.
struct stop_now
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
    std::string part;  ///< prefix of the part that speaks
    std::string text;
};

/// All that a node may ask of its surroundings.
using action = std::variant<answer_call, send_frame, run_on_worker, cancel_on_worker, ask_platform,
                            answer_admin, stop_now, write_log, check_worker>;

/// Actions in the order in which they are to be carried out.
using actions = std::vector<action>;

}  // namespace gullstall

#endif
