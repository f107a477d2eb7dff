#ifndef GULLSTALL_TEST_SUPPORT_MESH_ZONES_HPP
#define GULLSTALL_TEST_SUPPORT_MESH_ZONES_HPP

#include <algorithm>
#include <string>
#include <vector>

#include "test/support/mesh_world.hpp"

namespace gullstall::test {

/// Zones of several nodes; each node has an upstream of the same service.
struct zones_fixture
{
    static constexpr int zone_count = 4;
    static constexpr int nodes_per_zone = 6;

    mesh_simulation world{2026};

    zones_fixture()
    {
        world.policy = policy_of(1, {route_of("read", "/read/", "reads", idempotency::idempotent)});
    }

    static std::string node_name(int zone, int i)
    {
        return "node-" + std::to_string(zone) + "-" + std::to_string(i);
    }

    static std::string zone_name(int zone)
    {
        return "zone-" + std::to_string(zone);
    }

    void start()
    {
        for (int zone = 0; zone < zone_count; ++zone) {
            for (int i = 0; i < nodes_per_zone; ++i) {
                world.add_node(node_name(zone, i), zone_name(zone), {"reads"});
            }
        }
        world.run_for(seconds(3));
    }

    /// Restarts all nodes without relayed statuses.
    void switch_off()
    {
        for (auto &[name, node] : world.nodes) {
            node.features.relayed_statuses = false;
            for (auto &[link, peer] : node.links) {
                peer.relays_statuses = false;
            }
        }
    }

    /// \returns frames per second that the busiest node sends
    double highest_frame_rate()
    {
        constexpr int length_s = 10;
        std::map<std::string, std::uint64_t> sent;  // by node
        world.on_send = [&](const std::string &from, const std::string &, const auto &) {
            ++sent[from];
        };
        world.run_for(seconds(length_s));
        world.on_send = nullptr;
        std::uint64_t most = 0;
        for (const auto &[node, frames] : sent) {
            most = std::max(most, frames);
        }
        return static_cast<double>(most) / length_s;
    }

    const mesh::node_view &view_of(const std::string &at, const std::string &node)
    {
        return world.nodes.at(at).nodes.nodes.at(node);
    }

    /// \returns the age of the oldest status that a node has of the nodes in \a of
    duration oldest_status(const std::string &at, const std::vector<std::string> &of)
    {
        duration out{};
        for (const std::string &node : of) {
            out = std::max(out, world.now - view_of(at, node).status_at);
        }
        return out;
    }

    /// \returns the highest age, over \a length, of what \a at knows of the nodes \a of
    duration highest_age(const std::string &at, const std::vector<std::string> &of, duration length)
    {
        duration out{};
        for (time_point end = world.now + length; world.now < end;) {
            world.run_for(milliseconds(50));
            out = std::max(out, oldest_status(at, of));
        }
        return out;
    }

    std::vector<std::string> nodes_of(int zone)
    {
        std::vector<std::string> out;
        out.reserve(nodes_per_zone);
        for (int i = 0; i < nodes_per_zone; ++i) {
            out.push_back(node_name(zone, i));
        }
        return out;
    }

    std::vector<std::string> relays_of(int zone)
    {
        return choose_relays(world.nodes.at(node_name(zone, 0)).nodes, zone_name(zone), world.now);
    }

    /// \returns a node of the zone that is not one of its relays
    std::string plain_node(int zone)
    {
        std::vector<std::string> relays = relays_of(zone);
        for (const std::string &it : nodes_of(zone)) {
            if (std::find(relays.begin(), relays.end(), it) == relays.end()) {
                return it;
            }
        }
        return "";
    }

    /// Cuts or restores all links between the zones and the others.
    void set_zone_cut(int zone, bool is_cut)
    {
        for (const std::string &inside : nodes_of(zone)) {
            for (const auto &[outside, node] : world.nodes) {
                if (node.settings.node.zone != zone_name(zone)) {
                    set_cut(inside, outside, is_cut);
                    set_cut(outside, inside, is_cut);
                }
            }
        }
    }

    void set_cut(const std::string &from, const std::string &to, bool is_cut)
    {
        if (is_cut) {
            world.partitions.insert({from, to});
        } else {
            world.partitions.erase({from, to});
        }
    }

    std::size_t usable_at(const std::string &at, const std::vector<std::string> &of)
    {
        return static_cast<std::size_t>(std::count_if(of.begin(), of.end(), [&](const auto &node) {
            return is_usable(view_of(at, node), "reads", world.now);
        }));
    }
};

}  // namespace gullstall::test

#endif
