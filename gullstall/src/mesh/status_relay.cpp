#include "gullstall/src/mesh/status_relay.hpp"

#include <algorithm>

#include "gullstall/src/mesh/zone_duty.hpp"

namespace gullstall::mesh {

namespace {

/// Interval at which statuses are passed on. A status of another zone takes two such steps.
constexpr duration relay_interval = milliseconds(200);

/// Time that the first relay of this zone has to receive a status as well and to pass it on
/// before others do.
constexpr duration other_relay_delay = 2 * relay_interval + mesh_tick_interval;

/// Time after a call in which its sender is told of changes directly.
constexpr duration caller_memory = seconds(10);

/// Statuses in one frame between zones, which is then small enough to be compressed.
constexpr std::size_t max_entries_between_zones = 32;

/// Statuses in one frame within a zone.
constexpr std::size_t max_entries_in_zone = 1000;

using status_batches = std::vector<mesh_wire::status_batch_message>;

bool is_in_own_zone(const mesh_node &n, const std::string &node)
{
    auto found = n.nodes.nodes.find(node);
    return found != n.nodes.nodes.end() && found->second.address.zone == n.settings.node.zone;
}

bool is_same_status(const mesh_wire::node_status_message &a,
                    const mesh_wire::node_status_message &b)
{
    return a.incarnation == b.incarnation && a.sequence == b.sequence;
}

void add_entry(status_batches &out, std::size_t max_entries,
               const mesh_wire::node_status_message &status, duration age)
{
    if (out.empty() || out.back().entries.size() >= max_entries) {
        out.emplace_back();
    }
    auto entry = std::make_unique<mesh_wire::heard_status_message>();
    entry->status = std::make_unique<mesh_wire::node_status_message>(status);
    entry->age_us = static_cast<std::uint64_t>(std::max(duration{}, age).count());
    out.back().entries.push_back(std::move(entry));
}

void send_batches(mesh_turn &t, const std::vector<link_ref> &links, status_batches &&batches)
{
    if (links.empty()) {
        return;
    }
    for (mesh_wire::status_batch_message &it : batches) {
        t.out.emplace_back(send_to_links{links, mesh_frame(std::move(it))});
    }
}

/// \returns the statuses of this zone that have changed since they were last sent to other
/// zones
status_batches changed_in_own_zone(mesh_turn &t)
{
    status_batches out;
    for (auto &[name, view] : t.n.nodes.nodes) {
        bool is_changed = view.status.sequence != view.relayed_sequence;
        bool is_own_zone = view.address.zone == t.n.settings.node.zone;
        if (is_own_zone && is_changed && view.linked && !is_silent(view, t.now)) {
            view.relayed_sequence = view.status.sequence;
            add_entry(out, max_entries_between_zones, view.status, t.now - view.status_at);
        }
    }
    return out;
}

/// \returns the statuses received from other zones that the nodes of this zone may lack
status_batches take_received(mesh_turn &t)
{
    status_batches out;
    for (auto &[name, view] : t.n.nodes.nodes) {
        if (view.pass_on_at && t.now >= *view.pass_on_at) {
            view.pass_on_at.reset();
            add_entry(out, max_entries_in_zone, view.status, t.now - view.status_at);
        }
    }
    return out;
}

std::vector<link_ref> links_in_own_zone(const mesh_node &n)
{
    std::vector<link_ref> out;
    for (const auto &[link, peer] : n.links) {
        if (peer.relays_statuses && peer.zone == n.settings.node.zone) {
            out.push_back(link);
        }
    }
    return out;
}

/// \returns a connection to one relay of each other zone
/// \param rank position of this node among the relays of its zone: relays of equal rank
/// are connected
std::vector<link_ref> links_to_other_zones(const mesh_turn &t, std::size_t rank)
{
    std::map<std::string, std::vector<std::string>> relays_by_zone;
    for (const auto &[name, view] : t.n.nodes.nodes) {
        relays_by_zone.try_emplace(view.address.zone);
    }
    relays_by_zone.erase(t.n.settings.node.zone);
    std::map<std::string, link_ref> link_of;
    for (const auto &[link, peer] : t.n.links) {
        if (peer.relays_statuses) {
            link_of[peer.node] = link;
        }
    }
    std::vector<link_ref> out;
    for (auto &[zone, relays] : relays_by_zone) {
        relays = choose_relays(t.n.nodes, zone, t.now);
        auto found = relays.empty() ? link_of.end() : link_of.find(relays[rank % relays.size()]);
        if (found != link_of.end()) {
            out.push_back(found->second);
        }
    }
    return out;
}

bool hears_directly(const mesh_node &n, const incoming_link &it)
{
    return !n.features.relayed_statuses || !it.relays_statuses || it.zone == n.settings.node.zone;
}

bool hears_or_calls(const mesh_turn &t, const incoming_link &it)
{
    return hears_directly(t.n, it) || t.now - it.last_call_at <= caller_memory;
}

/// Sends this node's status over the connections for which \a is_receiver holds.
template <class Predicate>
void send_own_status(mesh_turn &t, Predicate is_receiver)
{
    std::vector<link_ref> links;
    for (const auto &[link, peer] : t.n.links) {
        if (is_receiver(peer)) {
            links.push_back(link);
        }
    }
    update_own_status(t);
    if (!links.empty()) {
        const node_view &self = t.n.nodes.nodes.at(t.n.settings.node.name);
        t.out.emplace_back(send_to_links{std::move(links), mesh_frame(self.status)});
    }
}

}  // namespace

void send_status_nearby(mesh_turn &t)
{
    t.n.status_sent_at = t.now;
    send_own_status(t, [&](const incoming_link &it) { return hears_directly(t.n, it); });
}

void send_status_to_callers(mesh_turn &t)
{
    send_own_status(t, [&](const incoming_link &it) { return hears_or_calls(t, it); });
}

void send_status_to_service(mesh_turn &t)
{
    send_own_status(t, [&](const incoming_link &it) {
        auto peer = t.n.nodes.nodes.find(it.node);
        bool is_same_service = peer != t.n.nodes.nodes.end() &&
                               peer->second.status.service == t.n.settings.node.service;
        return is_same_service || hears_or_calls(t, it);
    });
}

void relay_statuses(mesh_turn &t)
{
    if (!t.n.features.relayed_statuses || t.now - t.n.relayed_at < relay_interval) {
        return;
    }
    t.n.relayed_at = t.now;
    send_batches(t, links_in_own_zone(t.n), take_received(t));
    const auto &self = t.n.settings.node;
    std::vector<std::string> relays = choose_relays(t.n.nodes, self.zone, t.now);
    auto place = std::find(relays.begin(), relays.end(), self.name);
    if (place != relays.end()) {
        auto rank = static_cast<std::size_t>(place - relays.begin());
        send_batches(t, links_to_other_zones(t, rank), changed_in_own_zone(t));
    }
}

void handle_status_batch(mesh_turn &t, const std::string &from,
                         const mesh_wire::status_batch_message &batch)
{
    bool is_from_own_zone = is_in_own_zone(t.n, from);
    std::vector<std::string> relays = choose_relays(t.n.nodes, t.n.settings.node.zone, t.now);
    bool is_first = !relays.empty() && relays.front() == t.n.settings.node.name;
    time_point pass_on_at = t.now + (is_first ? duration{} : other_relay_delay);
    for (const auto &entry : batch.entries) {
        if (!entry->status || entry->status->node == t.n.settings.node.name) {
            continue;
        }
        const mesh_wire::node_status_message &status = *entry->status;
        auto age = duration(static_cast<std::int64_t>(entry->age_us));
        bool is_applied = apply_relayed_status(t, status, t.now - age);
        auto known = t.n.nodes.nodes.find(status.node);
        if (known == t.n.nodes.nodes.end()) {
            continue;
        }
        node_view &view = known->second;
        if (is_from_own_zone && is_same_status(view.status, status)) {
            view.pass_on_at.reset();
        } else if (is_applied && !is_from_own_zone && !is_in_own_zone(t.n, status.node)) {
            view.pass_on_at = std::min(view.pass_on_at.value_or(pass_on_at), pass_on_at);
        }
    }
}

}  // namespace gullstall::mesh
