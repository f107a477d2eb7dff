/// exp_overload: goodput of whole requests, recovery and what overload does to
/// lookups and protected calls, for both deployments, in virtual time with a
/// fixed seed. It prints one table per deployment with a row per way of control.
/// usage: exp_overload [NAME_OF_A_CONTROL...]

#include <cstdio>
#include <set>

#include "bench/support/overload_runs.hpp"

namespace {

using namespace gullstall;

void print_row(const bench::site_plan &site, const bench::control_plan &control)
{
    auto at_2 = bench::run_overload(site, control, 2);
    auto at_4 = bench::run_overload(site, control, 4);
    auto at_10 = bench::run_overload(site, control, 10);
    auto guarded = bench::run_protected(site, control);
    auto recovery = bench::run_recovery(site, control);
    auto innocent = bench::run_innocent(site, control);
    std::printf("%-16s %6.1f %6.1f %6.1f  %6.1f %6.1f %6.1f  %7.2f %4lu  %6.2f %6.2f %8s  %6.2f\n",
                control.name.c_str(), at_2.goodput, at_4.goodput, at_10.goodput, at_2.wasted,
                at_4.wasted, at_10.wasted, guarded.answered, guarded.out_of_turn, at_4.lookup_ratio,
                recovery.surge_goodput,
                recovery.recovered ? std::to_string(to_ms(recovery.took)).c_str() : "never",
                innocent);
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char **argv)
{
    std::set<std::string> wanted(argv + 1, argv + argc);
    for (const bench::site_plan &site : {bench::mokoena(), bench::swanbench()}) {
        std::printf("%s: bottleneck %s, %.0f whole calls a second; clients repeat three times\n",
                    site.name.c_str(), site.bottleneck.c_str(), bench::capacity_of(site));
        std::printf("%-16s %20s  %20s  %12s  %6s %6s %8s  %6s\n", "", "goodput % 2x 4x 10x",
                    "wasted slots %", "protected %", "p99 4x", "surge%", "recov ms", "innoc%");
        for (const bench::control_plan &control : bench::controls()) {
            if (wanted.empty() || wanted.count(control.name) > 0) {
                print_row(site, control);
            }
        }
    }
    return 0;
}
