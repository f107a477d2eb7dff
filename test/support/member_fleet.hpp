#ifndef GULLSTALL_TEST_SUPPORT_MEMBER_FLEET_HPP
#define GULLSTALL_TEST_SUPPORT_MEMBER_FLEET_HPP

#include <functional>
#include <string>
#include <vector>

#include "test/support/world.hpp"

namespace gullstall::test {

/// Nodes of several zones that have met; what membership tests ask of them.
struct member_fleet
{
    test_publisher publisher;
    simulation w{1};
    std::vector<std::string> zones{"midrand", "germiston", "centurion"};
    std::function<void(gossip_limits &)> set_limits;  ///< for guards that are switched off
    std::vector<endpoint> seeds;
    std::vector<std::string> names;

    static constexpr const char *bundle = R"(
[bundle]
version = 1
previous = none
author = tester
reference = CB-1
)";

    /// Adds a node; its name tells its service and zone.
    std::string add(const std::string &service, const std::string &zone)
    {
        auto number = static_cast<std::uint16_t>(names.size() + 1);
        std::string name = service + "-" + zone + "-" + std::to_string(number);
        node_settings settings = make_settings(name, zone, service, number, 8, publisher.trusted());
        settings.seeds = seeds;
        node &made = w.add_node(settings);
        if (set_limits) {
            set_limits(made.gossip.limits);
        }
        names.push_back(name);
        return name;
    }

    /// Adds \a n nodes of \a services, spread over the zones, and lets them meet.
    void start(std::size_t n, const std::vector<std::string> &services)
    {
        publisher.publish(w.platform, bundle);
        for (std::size_t i = 0; i < n; ++i) {
            add(services[i / zones.size() % services.size()], zones[i % zones.size()]);
        }
        w.run_for(seconds(10));
    }

    wire::member_state state_at(const std::string &viewer, const std::string &about) const
    {
        const member_table &view = w.nodes.at(viewer).members;
        auto found = view.members.find(about);
        return found == view.members.end() ? wire::member_state::dead : found->second.state;
    }

    /// \returns how many running nodes hold \a about for \a state, itself left out
    std::size_t count_seeing(const std::string &about, wire::member_state state) const
    {
        std::size_t n = 0;
        for (const auto &[viewer, it] : w.nodes) {
            n += viewer != about && state_at(viewer, about) == state ? 1 : 0;
        }
        return n;
    }

    /// \returns how many pairs of running nodes do not hold each other for alive
    std::size_t count_apart() const
    {
        std::size_t n = 0;
        for (const auto &[about, it] : w.nodes) {
            n += w.nodes.size() - 1 - count_seeing(about, wire::member_state::alive);
        }
        return n;
    }

    /// Runs until \a met holds, at most \a limit.
    /// \returns the time that it took
    duration run_until(duration limit, const std::function<bool()> &met)
    {
        constexpr duration look = milliseconds(50);
        time_point begin = w.now;
        while (w.now - begin < limit && !met()) {
            w.run_for(look);
        }
        return w.now - begin;
    }

    /// Cuts each zone of \a side off from all others, and from the platform.
    void cut_off(const std::vector<std::string> &side)
    {
        for (const std::string &zone : side) {
            w.platform_partitions.insert(zone);
            for (const std::string &other : zones) {
                if (other != zone) {
                    w.partitions.insert({zone, other});
                }
            }
        }
    }
    void heal()
    {
        w.partitions.clear();
        w.platform_partitions.clear();
    }
};

}  // namespace gullstall::test

#endif
