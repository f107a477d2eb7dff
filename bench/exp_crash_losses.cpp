/// A request that crashes upstreams while the processes of all nodes are restarted twice: what
/// each way to keep the suspects costs. Prints a table.

#include <iomanip>
#include <iostream>

#include "test/support/crash_load.hpp"

namespace {

using namespace gullstall;

struct way
{
    const char *name;
    bool keeps;
    bool waits;
};

constexpr std::uint64_t seeds = 10;

void play(const way &each, int upstreams, duration store_delay)
{
    test::crash_outcome sum;
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        test::crash_experiment what;
        what.seed = seed;
        what.upstreams = upstreams;
        what.crashing = {{"/read/crash", milliseconds(100)}};
        what.losses = {seconds(6), seconds(12)};
        what.store_delay = store_delay;
        what.awaits_suspects = each.waits;
        what.features.kept_suspects = each.keeps;
        test::crash_world world(what);
        test::crash_outcome out = world.play();
        sum.crashes += out.crashes;
        most = std::max(most, out.crashes);
        sum.runs_after_limit = std::max(sum.runs_after_limit, out.runs_after_limit);
        sum.innocent += out.innocent;
        sum.served += out.served;
        sum.refused += out.refused;
    }
    std::cout << upstreams << " | " << to_ms(store_delay) << " | " << each.name << " | "
              << static_cast<double>(sum.crashes) / seeds << ", " << most << " | "
              << sum.runs_after_limit << " | "
              << static_cast<double>(sum.served) / static_cast<double>(sum.innocent) << " | "
              << sum.refused << std::endl;
}

}  // namespace

int main()
{
    std::cout
        << "upstreams | store ms | way | crashes mean, most | runs beyond | served | refused\n"
        << std::fixed << std::setprecision(3);
    for (int upstreams : {3, 5, 9}) {
        for (int store_ms : {5, 800, 3000}) {
            for (const way &each : {way{"not kept", false, false}, way{"kept", true, false},
                                    way{"kept, runs wait", true, true}}) {
                play(each, upstreams, milliseconds(store_ms));
            }
        }
    }
    return 0;
}
