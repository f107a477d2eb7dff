#ifndef GULLSTALL_MESH_HPP
#define GULLSTALL_MESH_HPP

/// Mesh module: decision logic of a node that discovers its peers through the platform's
/// store. It covers admission control, load balancing, queueing, retries and the responses
/// to callers.
#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/kept_suspects.hpp"
#include "gullstall/src/mesh/mesh_actions.hpp"
#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/mesh_settings.hpp"
#include "gullstall/src/mesh/own_upstream.hpp"
#include "gullstall/src/mesh/placing.hpp"
#include "gullstall/src/mesh/quota_control.hpp"
#include "gullstall/src/mesh/quota_keeper.hpp"
#include "gullstall/src/mesh/repeat_budget.hpp"
#include "gullstall/src/mesh/retry_grant.hpp"
#include "gullstall/src/mesh/run_gate.hpp"
#include "gullstall/src/mesh/status_relay.hpp"
#include "gullstall/src/mesh/store_feed.hpp"
#include "gullstall/src/mesh/switches.hpp"
#include "gullstall/src/mesh/traffic_split.hpp"
#include "gullstall/src/mesh/upstream_notice.hpp"
#include "gullstall/src/mesh/zone_duty.hpp"

#endif
