#ifndef GULLSTALL_NODE_HPP
#define GULLSTALL_NODE_HPP

/// Node module: how an outside harness drives a node without the daemon.
///
/// 1. parse_settings() reads the node's settings; make_node() makes the node.
/// 2. step() takes one event with the time and returns actions. Feed
///    call_arrived for callers, frame_arrived for what other nodes sent,
///    worker_answered for the worker, platform_answered for the table and the
///    object store, worker_announced once the worker is up, and tick at least
///    every tick_interval.
/// 3. Carry out the actions in order: send_frame goes to the named node as
///    frame_arrived, ask_platform is answered by platform_answered with the
///    same reference, run_on_worker by worker_answered, and answer_call is the
///    one final answer to the call with that reference.
/// 4. A bundle reaches the node through its platform: answer the table_read of
///    bundle_head_key and the object_get that follows.
///
/// The node holds no socket, thread or clock, and draws only from the seed
/// that it was made with: the same events give the same actions.

#include "gullstall/src/node/action.hpp"
#include "gullstall/src/node/event.hpp"
#include "gullstall/src/node/node.hpp"

#endif
