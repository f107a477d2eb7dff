#include <doctest/doctest.h>

#include <cstdlib>

#include "test/support/crash_load.hpp"

using namespace gullstall;

namespace {

/// Requests that nodes may still run of one that has crashed three upstreams.
constexpr std::size_t allowed_runs = 3;

/// Seeds that are played; more by hand with GULLSTALL_SOAK_SEEDS.
int seeds_to_play()
{
    constexpr int default_seeds = 4;
    const char *text = std::getenv("GULLSTALL_SOAK_SEEDS");
    return text == nullptr ? default_seeds : std::max(1, std::atoi(text));
}

/// A small site whose load, crashing requests, ends of upstreams and restarts of nodes are drawn
/// from a seed.
class random_crash_day
{
public:
    explicit random_crash_day(std::uint64_t seed) : random_(seed), site_(draw(seed))
    {
        site_.world.policy_in_store = true;
    }

    test::crash_outcome play()
    {
        int restarts = pick(6);
        for (int i = 0; i < restarts; ++i) {
            schedule_restart("shop-" + std::to_string(pick(10)));
            schedule_restart("books-" + std::to_string(pick(5)));
        }
        int losses = pick(3);
        for (int i = 0; i < losses; ++i) {
            schedule_loss_of_all_nodes();
        }
        return site_.play();
    }

private:
    int pick(int n)
    {
        return static_cast<int>(draw_fraction(random_) * n);
    }

    test::crash_experiment draw(std::uint64_t seed)
    {
        test::crash_experiment out;
        out.seed = seed;
        out.polls_per_s = 1 + pick(100);
        int crashing = 1 + pick(3);
        for (int i = 0; i < crashing; ++i) {
            out.crashing.push_back(
                {"/read/crash" + std::to_string(i), milliseconds(20 + pick(900))});
        }
        int herds = pick(4);
        for (int i = 0; i < herds; ++i) {
            out.herds.emplace_back(milliseconds(pick(20000)), 1 + pick(5));
        }
        out.herd_gap = milliseconds(pick(200));
        return out;
    }

    /// Restarts the process of a node, whose upstream stays.
    void schedule_restart(const std::string &node)
    {
        site_.world.schedule_after(milliseconds(pick(20000)),
                                   [this, node] { site_.restart(node); });
    }

    /// Restarts the processes of all nodes at once; the store may be away for a while then.
    void schedule_loss_of_all_nodes()
    {
        duration away = milliseconds(pick(2) * pick(2000));
        site_.world.schedule_after(milliseconds(3000 + pick(17000)), [this, away] {
            site_.world.store_away_until = site_.world.now + away;
            site_.restart_all();
        });
    }

    random_source random_;
    test::crash_world site_;
};

}  // namespace

// Guards against crashing requests that pass, and others that are refused in their place, among
// ends of upstreams, restarts of nodes and losses of all nodes at once.
TEST_CASE("crashing requests, random ends and restarts, are not run again")
{
    for (int seed = 1; seed <= seeds_to_play(); ++seed) {
        test::crash_outcome out = random_crash_day(static_cast<std::uint64_t>(seed)).play();
        INFO("seed ", seed);
        CHECK(out.runs_after_limit <= allowed_runs);
        CHECK(out.refused == 0);
        MESSAGE("seed ", seed, ": upstreams crashed ", out.crashes, ", runs beyond the limit ",
                out.runs_after_limit, ", served ", out.served, " of ", out.innocent, ", refused ",
                out.refused, " in ", out.refused_s, " s");
    }
}
