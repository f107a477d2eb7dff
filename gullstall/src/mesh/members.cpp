#include <algorithm>

#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/quota_control.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

namespace {

/// Interval of periodic statuses. A connection counts as silent after three missed ones.
constexpr duration status_interval = milliseconds(500);

/// Time that the nodes of this zone have to tell of a newer policy before it is fetched from
/// another zone. The store notifies the zones at once; fetching immediately would transfer
/// the same policy between zones again for each node.
constexpr duration policy_fetch_delay = milliseconds(300);

/// Maximum number of routes whose costs a status carries.
constexpr std::size_t max_told_costs = 16;

/// Time after the start after which a node without peers counts as ready.
constexpr duration standalone_delay = seconds(3);

/// Adds the costs of the routes that the local upstream has run most often.
void add_run_costs(const run_costs &costs, mesh_wire::node_status_message &out)
{
    std::vector<std::pair<std::uint32_t, std::string>> routes;
    for (const auto &[route, held] : costs.by_route) {
        if (mean_held_us(costs, route) > 0) {
            routes.emplace_back(held.runs, route);
        }
    }
    std::sort(routes.rbegin(), routes.rend());
    routes.resize(std::min(routes.size(), max_told_costs));
    for (const auto &[runs, route] : routes) {
        auto cost = std::make_unique<mesh_wire::run_cost_message>();
        cost->route = route;
        cost->held_us = static_cast<std::uint32_t>(mean_held_us(costs, route));
        out.run_costs.push_back(std::move(cost));
    }
}

}  // namespace

std::uint64_t frame_time_us(time_point now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

mesh_node make_mesh_node(const mesh_settings &settings, std::uint64_t incarnation,
                         std::uint64_t seed, time_point now)
{
    mesh_node out;
    out.settings = settings;
    out.incarnation = incarnation;
    out.random.seed(seed);
    out.started_at = now;
    result<endpoint> peers = parse_endpoint(settings.listen.peers);
    node_address self{settings.node.name, settings.node.zone,
                      succeeded(peers) ? value_of(peers) : endpoint{}, incarnation};
    update_address(out.nodes, self);
    update_link(out.nodes, settings.node.name, true);
    // A random start keeps correlations distinct from those of an earlier process.
    out.last_id = out.random() >> 16U;
    return out;
}

mesh_wire::node_status_message own_status(mesh_turn &t)
{
    mesh_wire::node_status_message out;
    out.node = t.n.settings.node.name;
    out.zone = t.n.settings.node.zone;
    out.incarnation = t.n.incarnation;
    out.policy_version = t.n.policy ? t.n.policy->version : 0;
    out.stopping = t.n.gate_closed;
    out.stop_asked = t.n.stopping;
    out.store_lost = t.n.store_lost;
    out.grants_retries = t.n.features.gate_grants;
    out.relays_statuses = t.n.features.relayed_statuses;
    out.keeps_quotas = true;
    if (t.n.upstream.latest) {
        out.service = t.n.upstream.latest->service;
        out.upstream = t.n.upstream.latest->upstream;
        out.started_ms = t.n.upstream.latest->started_ms;
        out.state = t.n.upstream.has_announced_leave ? mesh_wire::upstream_state::draining
                                                     : t.n.upstream.latest->state;
    }
    if (!accepts_runs(t.n, t.now) && out.state == mesh_wire::upstream_state::ready) {
        out.state = mesh_wire::upstream_state::absent;
    }
    mesh_wire::node_load_message load = own_load(t.n, t.now);
    out.sequence = load.sequence;
    out.slots = load.slots;
    out.running = load.running;
    out.waiting = load.waiting;
    out.run_time_us = load.run_time_us;
    out.wait_us = load.wait_us;
    out.shed_milli = load.shed_milli;
    out.error_milli = load.error_milli;
    out.notice = std::move(load.notice);
    out.limit_wait_us = load.limit_wait_us;
    out.capacity_per_s = static_cast<std::uint32_t>(t.n.capacity.available_per_s);
    out.full_per_s = static_cast<std::uint32_t>(t.n.capacity.urgent_per_s);
    out.demand = t.n.demand_parts;
    if (counts_by_cost(t.n)) {
        add_run_costs(t.n.costs, out);
    }
    return out;
}

mesh_wire::node_load_message own_load(mesh_node &n, time_point now)
{
    constexpr double milli = 1000;
    mesh_wire::node_load_message out;
    out.sequence = ++n.status_sequence;
    out.slots = n.gate.slots;
    out.running = n.gate.running;
    out.waiting = static_cast<std::uint32_t>(n.gate.waiting.size());
    out.run_time_us = static_cast<std::uint32_t>(n.gate.mean_run_us);
    out.wait_us = static_cast<std::uint32_t>(expected_wait(n.gate, n.gate.waiting.size()).count());
    out.shed_milli = static_cast<std::uint16_t>(n.gate.shed_share * milli);
    if (n.features.upstream_errors) {
        out.error_milli = static_cast<std::uint16_t>(recent_error_share(n.gate, now) * milli);
    }
    out.notice = own_notice(n);
    out.limit_wait_us =
        static_cast<std::uint32_t>(token_wait(n.gate.rate, n.gate.waiting.size()).count());
    return out;
}

std::unique_ptr<mesh_wire::upstream_notice_message> own_notice(const mesh_node &n)
{
    constexpr double milli = 1000;
    const own_upstream &up = n.upstream;
    bool is_limited = up.limit && n.features.upstream_limits;
    if (!up.latest || (!is_limited && !up.has_announced_leave)) {
        return nullptr;
    }
    auto out = std::make_unique<mesh_wire::upstream_notice_message>();
    out->upstream = up.latest->upstream;
    out->started_ms = up.latest->started_ms;
    out->limited = is_limited;
    out->limit_milli = is_limited ? static_cast<std::uint64_t>(up.limit->per_s * milli) : 0;
    out->leaving = up.has_announced_leave;
    return out;
}

mesh_wire::hello_message own_hello(const mesh_node &n, const std::string &to, time_point now)
{
    const node_address &self = n.nodes.nodes.at(n.settings.node.name).address;
    mesh_wire::hello_message out;
    out.node = self.node;
    out.zone = self.zone;
    out.address = self.peers.address;
    out.port = self.peers.port;
    out.incarnation = n.incarnation;
    out.sent_us = frame_time_us(now);
    out.relays_statuses = n.features.relayed_statuses;
    out.reads_crash_news = n.features.crash_guard;
    auto receiver = n.nodes.nodes.find(to);
    if (receiver == n.nodes.nodes.end()) {
        return out;
    }
    const node_view &view = receiver->second;
    if (view.notice) {
        out.notice = std::make_unique<mesh_wire::upstream_notice_message>(*view.notice);
    }
    if (view.end) {
        out.end = print_end(*view.end);
    }
    return out;
}

void update_own_status(mesh_turn &t)
{
    update_status(t.n.nodes, own_status(t), t.now);
}

void handle_address(mesh_turn &t, const node_address &address)
{
    if (address.node == t.n.settings.node.name || !update_address(t.n.nodes, address)) {
        return;
    }
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "members",
                                  "node-known",
                                  {{"peer", address.node},
                                   {"zone", address.zone},
                                   {"peers", print_endpoint(address.peers)},
                                   {"incarnation", std::to_string(address.incarnation)}}});
    t.out.emplace_back(connect_node{address});
}

void handle_hello(mesh_turn &t, link_ref link, const mesh_wire::hello_message &hello)
{
    incoming_link &peer = t.n.links[link];
    peer.node = hello.node;
    peer.zone = hello.zone;
    peer.relays_statuses = hello.relays_statuses;
    peer.reads_crash_news = hello.reads_crash_news;
    peer.known = true;
    peer.min_offset_us =
        static_cast<std::int64_t>(frame_time_us(t.now)) - static_cast<std::int64_t>(hello.sent_us);
    handle_address(t, node_address{hello.node, hello.zone, endpoint{hello.address, hello.port},
                                   hello.incarnation});
    if (hello.notice) {
        handle_remembered_notice(t, hello.node, *hello.notice);
    }
    if (hello.end) {
        handle_remembered_end(t, hello.node, *hello.end);
    }
    t.out.emplace_back(send_to_link{link, mesh_frame(own_status(t))});
    greet_with_chains(t, link);
    greet_with_suspects(t, link);
}

namespace {

mesh_wire::upstream_state known_state(const directory &it, const std::string &node)
{
    auto found = it.nodes.find(node);
    return found != it.nodes.end() ? found->second.status.state : mesh_wire::upstream_state::absent;
}

void note_announced_policy(mesh_turn &t, const mesh_wire::node_status_message &status)
{
    std::uint64_t own = t.n.policy ? t.n.policy->version : 0;
    if (status.policy_version <= own) {
        return;
    }
    if (!t.n.policy_behind_since) {
        t.n.policy_behind_since = t.now;
    }
    // A node of the own zone is asked at once, others later.
    duration delay = status.zone == t.n.settings.node.zone ? duration{} : policy_fetch_delay;
    time_point fetch_at = t.now + delay;
    std::optional<mesh_node::announced_policy> &known = t.n.newer_policy;
    if (!known || status.policy_version > known->version || fetch_at < known->fetch_at) {
        known = mesh_node::announced_policy{status.policy_version, status.node, fetch_at};
    }
}

/// Acts on a status that has replaced one with the state \a before.
void on_status_changed(mesh_turn &t, const mesh_wire::node_status_message &status,
                       mesh_wire::upstream_state before)
{
    if (status.state != before) {
        t.out.emplace_back(write_line{write_line::severity::info,
                                      "members",
                                      "peer-upstream-state",
                                      {{"peer", status.node},
                                       {"service", status.service},
                                       {"upstream", status.upstream},
                                       {"state", mesh_wire::EnumNameupstream_state(status.state)},
                                       {"sequence", std::to_string(status.sequence)}}});
        dispatch_waiting_calls(t);
    }
    note_announced_policy(t, status);
}

}  // namespace

void handle_status(mesh_turn &t, const mesh_wire::node_status_message &status)
{
    mesh_wire::upstream_state before = known_state(t.n.nodes, status.node);
    if (update_status(t.n.nodes, status, t.now)) {
        on_status_changed(t, status, before);
    }
}

bool apply_relayed_status(mesh_turn &t, const mesh_wire::node_status_message &status,
                          time_point heard_at)
{
    mesh_wire::upstream_state before = known_state(t.n.nodes, status.node);
    if (!update_relayed_status(t.n.nodes, status, heard_at)) {
        return false;
    }
    on_status_changed(t, status, before);
    return true;
}

void handle_node_connected(mesh_turn &t, const std::string &node)
{
    update_link(t.n.nodes, node, true);
    t.out.emplace_back(
        write_line{write_line::severity::info, "members", "node-connected", {{"peer", node}}});
}

const char *name_of(policy_source source)
{
    return source == policy_source::store ? "store" : "peer";
}

bool apply_policy(mesh_turn &t, traffic_policy policy, std::string text, policy_source source)
{
    std::uint64_t before = t.n.policy ? t.n.policy->version : 0;
    bool is_newer = !t.n.policy || policy.version > before;
    t.out.emplace_back(write_line{write_line::severity::info,
                                  "policy",
                                  is_newer ? "policy-in-force" : "policy-not-newer",
                                  {{"version", std::to_string(policy.version)},
                                   {"before", std::to_string(before)},
                                   {"source", name_of(source)},
                                   {"routes", std::to_string(policy.routes.size())}}});
    if (!is_newer) {
        return false;
    }
    bool is_first_from_store = !t.n.policy && source == policy_source::store;
    if (is_first_from_store) {
        t.n.stored_suspects.wait_ends_at = t.now + max_suspects_wait;
    }
    t.n.policy = std::move(policy);
    t.n.policy_text = std::move(text);
    t.n.policy_at = t.now;
    t.n.policy_behind_since.reset();
    if (t.n.newer_policy && t.n.newer_policy->version <= t.n.policy->version) {
        t.n.newer_policy.reset();
    }
    t.n.plan_outdated = true;
    refresh_plan(t);
    for (run_costs *it : {&t.n.costs, &t.n.call_times}) {
        std::erase_if(it->by_route, [&](const auto &entry) {
            return find_route_by_name(*t.n.policy, entry.first) == nullptr;
        });
    }
    apply_timeouts(t);
    if (source == policy_source::store) {
        send_status_nearby(t);  // the nodes of this zone wait for it
    }
    return true;
}

void set_store_lost(mesh_turn &t, bool lost)
{
    if (t.n.store_lost != lost) {
        t.n.store_lost = lost;
        send_status_nearby(t);  // another node may have to watch the store
    }
}

void handle_policy_fetch(mesh_turn &t, link_ref link)
{
    if (!t.n.policy) {
        return;
    }
    mesh_wire::policy_content_message message;
    message.version = t.n.policy->version;
    message.content.assign(t.n.policy_text.begin(), t.n.policy_text.end());
    t.out.emplace_back(send_to_link{link, mesh_frame(std::move(message))});
}

void handle_ping(mesh_turn &t, link_ref link)
{
    t.out.emplace_back(send_to_link{link, mesh_frame(own_status(t))});
}

namespace {

void ask_quiet_nodes(mesh_turn &t)
{
    if (!t.n.features.ask_quiet_nodes) {
        return;
    }
    for (const std::string &node :
         select_nodes_to_probe(t.n.nodes, t.n.settings.node.name, t.now)) {
        mesh_wire::ping_message ping;
        ping.sent_us = frame_time_us(t.now);
        t.out.emplace_back(send_to_node{node, mesh_frame(ping)});
    }
}

void log_silence_changes(mesh_turn &t)
{
    for (const silence_change &it : silence_changes(t.n.nodes, t.now)) {
        t.out.emplace_back(
            write_line{it.silent ? write_line::severity::warning : write_line::severity::info,
                       "members",
                       it.silent ? "node-silent" : "node-heard",
                       {{"peer", it.node}, {"in_flight", std::to_string(it.in_flight)}}});
    }
}

void refresh_zone_plan(mesh_turn &t)
{
    if (!t.n.policy || !t.n.features.zone_plan) {
        return;
    }
    service_zones present = zones_by_service(t.n.nodes, t.now);
    if (t.n.zones_outdated || present != t.n.zones_present) {
        t.n.zones = make_zone_plan(*t.n.policy, t.n.plan.calls, present);
        t.n.zones_present = std::move(present);
        t.n.zones_outdated = false;
    }
}

}  // namespace

void members_tick(mesh_turn &t)
{
    ask_quiet_nodes(t);
    log_silence_changes(t);
    refresh_plan(t);
    refresh_zone_plan(t);
    if (t.now - t.n.status_sent_at >= status_interval) {
        send_status_nearby(t);
        broadcast_chain_news(t);
    }
    relay_statuses(t);
    quota_tick(t);
    crash_guard_tick(t);
    upstream_limit_tick(t);
    kept_end_tick(t);
    report_upstream_errors(t);
    admission_tick(t);
    stop_tick(t);
    dispatch_waiting_calls(t);
    if (t.n.newer_policy && t.now >= t.n.newer_policy->fetch_at) {
        mesh_wire::policy_fetch_message message;
        message.version = t.n.newer_policy->version;
        t.out.emplace_back(send_to_node{t.n.newer_policy->node, mesh_frame(message)});
        t.n.newer_policy.reset();
    }
}

bool is_ready(const mesh_node &n, time_point now)
{
    if (n.stopping || !n.policy) {
        return false;
    }
    bool has_peer = std::any_of(n.nodes.nodes.begin(), n.nodes.nodes.end(), [&](const auto &entry) {
        return entry.second.linked && entry.first != n.settings.node.name;
    });
    return has_peer || now - n.started_at >= standalone_delay;
}

std::optional<time_point> next_expiry(const mesh_node &n)
{
    std::optional<time_point> out;
    if (!n.call_expiry.empty()) {
        out = n.call_expiry.begin()->first;
    }
    if (!n.run_expiry.empty()) {
        out = std::min(out.value_or(time_point::max()), n.run_expiry.begin()->first);
    }
    if (std::optional<time_point> token = next_token_at(n.gate)) {
        out = std::min(out.value_or(time_point::max()), *token);
    }
    return out;
}

}  // namespace gullstall::mesh
