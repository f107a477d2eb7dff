/// Requests that crash upstreams, and upstreams that crash for other reasons: what each way to
/// treat the requests that were running costs. Prints a table.

#include <cstdlib>
#include <iomanip>
#include <iostream>

#include "test/support/crash_load.hpp"

namespace {

using namespace gullstall;

struct treatment
{
    const char *name;
    mesh::mesh_features features;
    suspicion_rules rules;
};

std::vector<treatment> treatments()
{
    mesh::mesh_features off;
    off.crash_guard = false;
    return {{"none", off, {}},
            {"quarantine at 3 crashes", {}, {0, 3}},
            {"isolate at 1", {}, {1, 0}},
            {"isolate at 2", {}, {}}};
}

struct scenario
{
    const char *name;
    int crashing;
    std::vector<std::pair<duration, int>> herds;
    duration herd_gap;
    double polls_per_s;                     ///< equal requests that crash nothing
    duration interval = milliseconds(700);  ///< of a crashing request
};

std::vector<scenario> scenarios()
{
    std::vector<std::pair<duration, int>> herds{{seconds(3), 5}, {seconds(9), 5}, {seconds(15), 5}};
    return {{"one", 1, {}, {}, 20},
            {"one, often", 1, {}, {}, 20, milliseconds(50)},
            {"three", 3, {}, {}, 20},
            {"three, often", 3, {}, {}, 20, milliseconds(50)},
            {"herds", 0, herds, {}, 20},
            {"herds, many polls", 0, herds, {}, 200},
            {"herds 80 ms apart, many polls", 0, herds, milliseconds(80), 200},
            {"one and herds", 1, herds, milliseconds(80), 20}};
}

struct deployment
{
    int upstreams;
    int callers;
    double load;  ///< times that of the smallest
};

test::crash_outcome play(const treatment &way, const scenario &day, const deployment &size,
                         std::uint64_t seed)
{
    test::crash_experiment what;
    what.seed = seed;
    what.upstreams = size.upstreams;
    what.callers = size.callers;
    what.lookups_per_s *= size.load;
    what.length = seconds(20);
    what.polls_per_s = day.polls_per_s;
    what.features = way.features;
    what.rules = way.rules;
    what.herds = day.herds;
    what.herd_gap = day.herd_gap;
    for (int i = 0; i < day.crashing; ++i) {
        what.crashing.push_back({"/read/crash" + std::to_string(i), day.interval});
    }
    test::crash_world world(what);
    return world.play();
}

void add(test::crash_outcome &sum, const test::crash_outcome &it)
{
    sum.crashes += it.crashes;
    sum.runs_after_limit = std::max(sum.runs_after_limit, it.runs_after_limit);
    sum.innocent += it.innocent;
    sum.served += it.served;
    sum.refused += it.refused;
    sum.refused_s = std::max(sum.refused_s, it.refused_s);
    sum.slowest_s = std::max(sum.slowest_s, it.slowest_s);
}

}  // namespace

/// \param argv number of seeds, and of sizes from the smallest; 3 of each if not given
int main(int argc, char **argv)
{
    int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    int sizes = argc > 2 ? std::atoi(argv[2]) : 3;
    std::cout << "nodes | scenario | treatment | crashes caused | runs beyond | served | refused | "
                 "for s | slowest s\n"
              << std::fixed << std::setprecision(4);
    std::vector<deployment> all{{5, 10, 1}, {12, 49, 2}, {20, 175, 3}};
    all.resize(static_cast<std::size_t>(std::clamp(sizes, 1, 3)));
    for (const deployment &size : all) {
        for (const scenario &day : scenarios()) {
            for (const treatment &way : treatments()) {
                test::crash_outcome sum;
                for (int seed = 1; seed <= seeds; ++seed) {
                    add(sum, play(way, day, size, static_cast<std::uint64_t>(seed)));
                }
                std::cout << size.upstreams + size.callers << " | " << day.name << " | " << way.name
                          << " | " << static_cast<double>(sum.crashes) / seeds << " | "
                          << sum.runs_after_limit << " | "
                          << static_cast<double>(sum.served) / static_cast<double>(sum.innocent)
                          << " | " << sum.refused << " | " << sum.refused_s << " | "
                          << sum.slowest_s << std::endl;
            }
        }
    }
    return 0;
}
