#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

#include "test/support/quota_zones.hpp"

using namespace gullstall;

namespace {

constexpr duration day_length = seconds(24);

/// \returns the number in an environment variable
/// \param otherwise if it is not set
int number_from_environment(const char *name, int otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::max(0, std::atoi(text));
}

/// Kinds of disruption that a day is drawn from.
enum class disruption
{
    herd_kill,      ///< many nodes restart at once
    kill,           ///< one node restarts
    rolling_stops,  ///< nodes are shut down and started again in turn
    node_cut,       ///< a node is cut off from all others
    one_way_cut,    ///< a node is heard, and hears nobody, or the reverse
    slow_links,     ///< what a node sends and receives is late by up to a second
    pause,          ///< the process of a node stands still
    zone_cut
};

/// A day of hot customers and disruptions drawn from a seed.
class random_quota_day
{
public:
    random_quota_day(std::uint64_t seed, std::vector<disruption> kinds)
        : kinds_(std::move(kinds)), random_(seed)
    {
        site_.world.random.seed(seed);
    }

    void play()
    {
        schedule_load();
        for (disruption it : kinds_) {
            for (int n = 1 + pick(3); n > 0; --n) {
                duration at = milliseconds(1000 + pick(18000));
                site_.world.schedule_after(at, [this, it] { disrupt(it); });
            }
        }
        site_.world.run_for(day_length + seconds(2));
    }

    std::size_t highest_sum() const
    {
        return site_.highest_sum_by_rule("big");
    }

private:
    int pick(int n)
    {
        return static_cast<int>(draw_fraction(random_) * n);
    }

    std::string any_node()
    {
        return test::zones_fixture::node_name(pick(test::zones_fixture::zone_count),
                                              pick(test::zones_fixture::nodes_per_zone));
    }

    /// Quiet times and hot ones by turns, so that the customer draws bursts at many moments.
    void schedule_load()
    {
        for (duration at{}; at < day_length;) {
            duration quiet = milliseconds(pick(3000));
            duration hot = milliseconds(500 + pick(4000));
            site_.world.schedule_after(at + quiet, [this, hot] {
                site_.send("big", 8 * test::quota_fixture::big_rate, hot, site_.all_nodes());
            });
            at += quiet + hot;
        }
    }

    void restart(const std::string &node)
    {
        site_.restart(node);
    }

    void stop(const std::string &node)
    {
        site_.world.run_node(node, [](mesh::mesh_turn &t) { stop_node(t); });
        site_.world.schedule_after(milliseconds(500 + pick(2500)), [this, node] { restart(node); });
    }

    void cut(const std::string &node, bool outgoing, bool incoming, bool is_cut)
    {
        for (const std::string &other : site_.all_nodes()) {
            if (other != node && outgoing) {
                site_.set_cut(node, other, is_cut);
            }
            if (other != node && incoming) {
                site_.set_cut(other, node, is_cut);
            }
        }
    }

    void cut_for(const std::string &node, bool outgoing, bool incoming, duration length)
    {
        cut(node, outgoing, incoming, true);
        site_.world.schedule_after(length, [=, this] { cut(node, outgoing, incoming, false); });
    }

    void disrupt(disruption it)
    {
        std::string node = any_node();
        switch (it) {
            case disruption::herd_kill:
                for (const std::string &each : site_.all_nodes()) {
                    if (pick(10) < 6) {
                        restart(each);
                    }
                }
                break;
            case disruption::kill:
                restart(node);
                break;
            case disruption::rolling_stops:
                for (int i = 0; i < 12; ++i) {
                    site_.world.schedule_after(milliseconds(300 * i), [this] { stop(any_node()); });
                }
                break;
            case disruption::node_cut:
                cut_for(node, true, true, milliseconds(500 + pick(5000)));
                break;
            case disruption::one_way_cut: {
                bool outgoing = pick(2) == 0;
                cut_for(node, outgoing, !outgoing, milliseconds(500 + pick(5000)));
                break;
            }
            case disruption::slow_links:
                for (int i = 0; i < 6; ++i) {
                    site_.world.schedule_after(milliseconds(600 * i), [this, node] {
                        cut_for(node, true, true, milliseconds(100 + pick(450)));
                    });
                }
                break;
            case disruption::pause:
                site_.world.paused_nodes.insert(node);
                site_.world.schedule_after(milliseconds(300 + pick(3000)),
                                           [this, node] { site_.world.paused_nodes.erase(node); });
                break;
            case disruption::zone_cut: {
                int zone = pick(test::zones_fixture::zone_count);
                site_.set_zone_cut(zone, true);
                site_.world.schedule_after(milliseconds(500 + pick(6000)),
                                           [this, zone] { site_.set_zone_cut(zone, false); });
                break;
            }
        }
    }

    std::vector<disruption> kinds_;
    random_source random_;
    test::quota_fixture site_;
};

/// Plays days of these kinds of disruption; more by hand with GULLSTALL_SOAK_SEEDS, from the seed
/// GULLSTALL_SOAK_FIRST on.
void check_days(const std::vector<disruption> &kinds)
{
    constexpr int default_seeds = 2;
    int first = number_from_environment("GULLSTALL_SOAK_FIRST", 1);
    int count = number_from_environment("GULLSTALL_SOAK_SEEDS", default_seeds);
    for (int seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        random_quota_day day(static_cast<std::uint64_t>(seed), kinds);
        day.play();
        CHECK(static_cast<double>(day.highest_sum()) <=
              test::quota_fixture::allowed_sum(test::quota_fixture::big_rate));
    }
}

}  // namespace

// Guards against customers that get more than their quota when keepers end, and their
// successors start without what was granted before.
TEST_CASE("hot customer, herds of kills, sum stays within quota")
{
    check_days({disruption::herd_kill, disruption::kill});
}

// Guards against customers that get more than their quota while nodes restart in turn.
TEST_CASE("hot customer, rolling stops, sum stays within quota")
{
    check_days({disruption::rolling_stops, disruption::rolling_stops});
}

// Guards against two keepers of a zone that each hand out its share while nodes disagree on
// who is reachable.
TEST_CASE("hot customer, nodes cut off or slow, sum stays within quota")
{
    check_days(
        {disruption::node_cut, disruption::one_way_cut, disruption::slow_links, disruption::pause});
}

// Guards against customers that get more than their quota where disruptions overlap.
TEST_CASE("hot customer, all disruptions, sum stays within quota")
{
    check_days({disruption::herd_kill, disruption::kill, disruption::rolling_stops,
                disruption::node_cut, disruption::one_way_cut, disruption::slow_links,
                disruption::pause, disruption::zone_cut});
}
