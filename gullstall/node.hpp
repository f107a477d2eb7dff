#ifndef GULLSTALL_NODE_HPP
#define GULLSTALL_NODE_HPP

/// Node module: runs a node without the daemon, for example in a simulation.
///
/// 1. parse_settings() reads the settings of the node; make_node() creates it.
/// 2. step() processes one event at a given time and returns actions. Pass
///    call_arrived for each call of a caller, frame_arrived for frames of other
///    nodes, worker_answered for results of the worker, platform_answered for
///    answers of the table and the object store, worker_announced when the
///    worker is up, and tick at least every tick_interval.
/// 3. Carry out the actions in order: deliver send_frame to the named node as
///    frame_arrived, answer request_platform by platform_answered with the same
///    reference and run_on_worker by worker_answered. answer_call is the only,
///    final answer to the call with that reference.
/// 4. A node loads its first bundle from the platform: answer the conditional
///    write of bundle_head_key with a conflict and the current row, and then the
///    object_get that follows. It polls for later versions by table_read.
///
/// The node owns no sockets, threads or clocks, and all randomness comes from
/// its seed: the same events give the same actions.

#include "gullstall/src/node/action.hpp"
#include "gullstall/src/node/event.hpp"
#include "gullstall/src/node/node.hpp"

#endif
