/// Statuses between nodes at rest, in virtual time: frames and bytes that a node sends, and
/// the age of what the nodes know of each other, with relays and all to all.

#include <cstdio>
#include <map>

#include "gullstall/src/wire/frame_codec.hpp"
#include "test/support/mesh_world.hpp"

using namespace gullstall;

namespace {

struct fleet
{
    int nodes = 0;
    int zones = 0;
};

constexpr duration warm_up = seconds(3);
constexpr duration length = seconds(4);
constexpr duration sample_interval = milliseconds(250);
constexpr int observers = 10;  ///< nodes whose knowledge is sampled

/// Frames and bytes sent, uncompressed.
struct traffic_count
{
    std::map<std::string, double> frames;  ///< by node
    double own_zone_bytes = 0;
    double other_zone_bytes = 0;
};

/// Ages of statuses in milliseconds.
struct status_ages
{
    std::vector<double> own_zone;
    std::vector<double> other_zones;
};

std::string name_of(int i)
{
    return "node-" + std::to_string(i);
}

std::string zone_of(const fleet &it, int i)
{
    return "zone-" + std::to_string(i % it.zones);
}

void start_nodes(test::mesh_simulation &world, const fleet &it, bool relayed)
{
    world.policy =
        test::policy_of(1, {test::route_of("read", "/read/", "reads", idempotency::idempotent)});
    for (int i = 0; i < it.nodes; ++i) {
        world.add_node(name_of(i), zone_of(it, i), {"reads"});
        world.nodes.at(name_of(i)).features.relayed_statuses = relayed;
    }
    world.run_for(warm_up);
}

void count_frames(test::mesh_simulation &world, traffic_count &out)
{
    world.on_send = [&](const std::string &from, const std::string &to,
                        const mesh_wire::frame_message &frame) {
        ++out.frames[from];
        auto bytes = static_cast<double>(encode_frame_of<mesh_wire::frame>(frame).size());
        bool is_near =
            world.nodes.at(from).settings.node.zone == world.nodes.at(to).settings.node.zone;
        (is_near ? out.own_zone_bytes : out.other_zone_bytes) += bytes;
    };
}

void sample_ages(const test::mesh_simulation &world, status_ages &out)
{
    constexpr double us_per_ms = 1000;
    for (int i = 0; i < observers; ++i) {
        const mesh::mesh_node &node = world.nodes.at(name_of(i));
        for (const auto &[name, view] : node.nodes.nodes) {
            if (name != node.settings.node.name) {
                bool is_near = view.address.zone == node.settings.node.zone;
                auto age = static_cast<double>((world.now - view.status_at).count()) / us_per_ms;
                (is_near ? out.own_zone : out.other_zones).push_back(age);
            }
        }
    }
}

double quantile(std::vector<double> all, double share)
{
    if (all.empty()) {
        return 0;
    }
    std::sort(all.begin(), all.end());
    return all[static_cast<std::size_t>(share * static_cast<double>(all.size() - 1))];
}

void run(const fleet &it, bool relayed)
{
    test::mesh_simulation world(2026);
    start_nodes(world, it, relayed);
    traffic_count sent;
    count_frames(world, sent);
    status_ages ages;
    for (duration passed{}; passed < length; passed += sample_interval) {
        world.run_for(sample_interval);
        sample_ages(world, ages);
    }
    double seconds_long = std::chrono::duration<double>(length).count();
    double all = 0;
    double most = 0;
    for (const auto &[node, frames] : sent.frames) {
        all += frames;
        most = std::max(most, frames);
    }
    double per_node_s = 1 / (it.nodes * seconds_long);
    std::printf("| %d in %d | %s | %.0f | %.0f | %.1f | %.2f | %.0f, %.0f | %.0f, %.0f |\n",
                it.nodes, it.zones, relayed ? "relays" : "all to all", all * per_node_s,
                most / seconds_long, sent.own_zone_bytes * per_node_s / 1000,
                sent.other_zone_bytes * per_node_s / 1000, quantile(ages.own_zone, 0.5),
                quantile(ages.own_zone, 0.99), quantile(ages.other_zones, 0.5),
                quantile(ages.other_zones, 0.99));
    std::fflush(stdout);
}

}  // namespace

int main()
{
    std::printf(
        "| nodes in zones | statuses | frames/s a node, mean | most | KB/s in the zone | between | "
        "age ms in the zone, p50, p99 | in others |\n|---|---|---|---|---|---|---|---|\n");
    for (fleet it : {fleet{15, 3}, fleet{85, 4}, fleet{195, 5}, fleet{300, 5}, fleet{560, 7}}) {
        run(it, false);
        run(it, true);
    }
    return 0;
}
