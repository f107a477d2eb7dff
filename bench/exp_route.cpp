/// Choice of upstream in virtual time: a zone with more load than its own
/// workers carry, a slow worker, a silent one, one that refuses, a new one.

#include <cstdio>

#include "bench/support/route_experiment.hpp"

using namespace gullstall;
using namespace gullstall::bench;

namespace {

constexpr std::uint64_t seed = 2026;

struct variant
{
    const char *name;
    route_choice choose;
};

route_experiment make(const route_choice &choose)
{
    route_experiment it(seed, {"a", "a", "b", "c"}, choose);
    for (const char *zone : {"a", "b", "c"}) {
        for (int i = 0; i < 2; ++i) {
            it.add_worker(std::string(zone) + "-" + std::to_string(i), zone, 20);
        }
    }
    return it;
}

void print(const char *name, const char *what, route_outcome out)
{
    std::printf("%-16s %-28s calls %6lu  failed %5.2f %%  far %5.1f %%  p50 %6.1f  p99 %7.1f ms\n",
                name, what, out.calls,
                100.0 * static_cast<double>(out.failed) / static_cast<double>(out.calls),
                100.0 * static_cast<double>(out.far) / static_cast<double>(out.calls),
                out.quantile(0.5), out.quantile(0.99));
}

// A zone's two workers carry 1000 calls a second.
const std::vector<double> even{250, 250, 500, 500};
const std::vector<double> skewed{750, 750, 250, 250};

void run_all(const variant &it)
{
    {
        route_experiment e = make(it.choose);
        e.run(5, even);
        print(it.name, "even, half load", e.run(20, even));
        print(it.name, "zone a at 150 %", e.run(20, skewed));
        print(it.name, "even again", e.run(20, even));
    }
    {
        route_experiment e = make(it.choose);
        e.run(5, even);
        e.worker("b-0").slowness = 5;
        print(it.name, "one worker 5x slower", e.run(20, even));
    }
    {
        route_experiment e = make(it.choose);
        e.run(5, even);
        e.worker("b-0").silent = true;
        print(it.name, "one worker silent", e.run(20, even));
    }
    {
        route_experiment e = make(it.choose);
        e.run(5, even);
        e.worker("b-0").refusing = true;
        print(it.name, "one worker refuses", e.run(20, even));
    }
    {
        route_experiment e = make(it.choose);
        e.run(5, even);
        e.add_worker("b-2", "b", 20);
        e.worker("b-2").slowness = 4;
        print(it.name, "new worker, cold for 3 s", e.run(3, even));
        e.worker("b-2").slowness = 1;
        print(it.name, "new worker, warm", e.run(20, even));
    }
}

}  // namespace

int main()
{
    run_all(
        {"router", [](router &r, const member_table &m, const route_request &w, random_source &rnd,
                      time_point now) { return choose_upstream(r, m, w, rnd, now); }});
    return 0;
}
