#ifndef GULLSTALL_NODE_EVENT_HPP
#define GULLSTALL_NODE_EVENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/platform/request.hpp"
#include "gullstall/src/wire/codec.hpp"

namespace gullstall {

/// Bytes of a request or an answer.
using body_bytes = std::vector<std::uint8_t>;

/// A call as a caller, or this node's own worker, asks for it.
struct caller_call
{
    std::string service;
    std::string operation;
    std::string request_id;  ///< empty: the node gives it one
    std::string key;         ///< idempotency key, empty when there is none
    std::string context;     ///< context header that a worker passed on, empty at the entry
    std::optional<duration> time_left;  ///< none: the bundle's default
    body_bytes body;
    std::uint32_t attempt = 0;  ///< of the caller with this key, from 1; 0: not told

    bool operator==(const caller_call &) const = default;
};

/// A caller, or the own worker, asks for a call.
struct call_arrived
{
    call_ref call;
    caller_call request;
};

/// A caller asks for an idempotency key; it is answered like a call, with the
/// key as the body.
struct key_asked
{
    call_ref call;
};

/// The caller has gone and wants no answer any more.
struct call_abandoned
{
    call_ref call;
};

/// How an attempt to run a call on the own worker ended.
enum class worker_end
{
    answered,  ///< a whole answer came
    refused,   ///< the worker said that it did not run the call
    not_sent,  ///< no byte of the call reached the worker
    lost       ///< bytes reached the worker and no whole answer came
};

/// The own worker's answer, or that none came.
struct worker_answered
{
    run_ref run;
    worker_end end;
    std::uint16_t status;
    std::string content_type;
    body_bytes body;
};

/// The own worker announces itself.
struct worker_announced
{
    std::uint32_t slots;
};

/// The own worker says that it leaves.
struct worker_leaving
{
};

/// Whether the own worker took a connection: the answer to check_worker.
struct worker_checked
{
    bool reachable;
};

/// A frame came from another node.
struct frame_arrived
{
    wire::frame_message frame;
};

/// The connection to another node broke or could not be made. Calls of
/// \a unsent were certainly not delivered.
struct peer_unreachable
{
    std::string instance;
    std::vector<std::uint64_t> unsent;
};

/// The platform's answer to an ask_platform action.
struct platform_answered
{
    platform_ref request;
    platform_answer answer;
};

/// A question on the admin port.
struct admin_asked
{
    admin_ref question;
    std::string target;  ///< path and query
};

/// The process is asked to stop.
struct stop_requested
{
};

/// Time passes; to be fed at least every tick_interval.
struct tick
{
};

/// Longest time between two ticks.
constexpr duration tick_interval = milliseconds(5);

/// All that can happen to a node.
using event = std::variant<call_arrived, key_asked, call_abandoned, worker_answered,
                           worker_announced, worker_leaving, frame_arrived, peer_unreachable,
                           platform_answered, admin_asked, stop_requested, tick, worker_checked>;

}  // namespace gullstall

#endif
