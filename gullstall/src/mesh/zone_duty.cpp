#include "gullstall/src/mesh/zone_duty.hpp"

#include <algorithm>
#include <set>

namespace gullstall::mesh {

namespace {

/// Time after the start before a node takes itself for the only one of its zone.
constexpr duration lone_node_delay = seconds(1);

/// Time in which a policy that peers have in force is fetched from them. Later it is read
/// from the store.
constexpr duration peer_policy_timeout = milliseconds(800);

/// \returns the names of the first responsive nodes of \a zone by the hash of their names
/// \param is_able whether a node can do the duty
template <class Predicate>
std::vector<std::string> choose_nodes(const directory &it, const std::string &zone, time_point now,
                                      Predicate is_able)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &[name, view] : it.nodes) {
        if (view.address.zone == zone && is_responsive(view, now) && is_able(view)) {
            ranked.emplace_back(hash_text(name), name);
        }
    }
    std::size_t n = std::min(nodes_on_duty, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(ranked[i].second);
    }
    return out;
}

}  // namespace

bool is_responsive(const node_view &it, time_point now)
{
    return it.linked && !is_silent(it, now) && !it.status.stopping && !it.status.stop_asked;
}

std::vector<std::string> choose_relays(const directory &it, const std::string &zone, time_point now)
{
    return choose_nodes(it, zone, now,
                        [](const node_view &view) { return view.status.relays_statuses; });
}

bool is_relay(const mesh_node &n, time_point now)
{
    const auto &self = n.settings.node;
    std::vector<std::string> relays = choose_relays(n.nodes, self.zone, now);
    return std::find(relays.begin(), relays.end(), self.name) != relays.end();
}

namespace {

/// \returns the names of the nodes that watch the store for this node's zone; none while the
/// node has just started and hears no other
std::vector<std::string> choose_watchers(const mesh_node &n, time_point now)
{
    if (now - n.started_at < lone_node_delay) {
        return {};
    }
    return choose_nodes(n.nodes, n.settings.node.zone, now,
                        [](const node_view &view) { return !view.status.store_lost; });
}

}  // namespace

bool watches_store(const mesh_node &n, time_point now)
{
    bool is_policy_late =
        n.policy_behind_since && now - *n.policy_behind_since >= peer_policy_timeout;
    if (!n.features.store_watchers || is_policy_late) {
        return true;
    }
    std::vector<std::string> watchers = choose_watchers(n, now);
    return std::find(watchers.begin(), watchers.end(), n.settings.node.name) != watchers.end();
}

feed_timing own_feed_timing(const mesh_node &n, time_point now)
{
    const auto &self = n.settings.node;
    std::vector<std::string> watchers = choose_watchers(n, now);
    auto own = std::find(watchers.begin(), watchers.end(), self.name);
    auto rank = own == watchers.end() ? 0 : own - watchers.begin();
    std::set<std::string> zones;
    for (const auto &[name, view] : n.nodes.nodes) {
        zones.insert(view.address.zone);
    }
    auto zone = std::distance(zones.begin(), zones.find(self.zone));
    auto place = rank * static_cast<std::ptrdiff_t>(zones.size()) + zone;
    double places = static_cast<double>(nodes_on_duty * zones.size());
    // A watcher without another one notices as soon as the first of two.
    auto watcher_count = static_cast<std::int64_t>(std::max<std::size_t>(1, watchers.size()));
    duration interval = milliseconds(n.settings.store.feed_wait_ms) * watcher_count /
                        static_cast<std::int64_t>(nodes_on_duty);
    return feed_timing{interval, static_cast<double>(place) / places};
}

bool is_first_watcher(const mesh_node &n, time_point now)
{
    std::vector<std::string> watchers = choose_watchers(n, now);
    return !watchers.empty() && watchers.front() == n.settings.node.name;
}

}  // namespace gullstall::mesh
