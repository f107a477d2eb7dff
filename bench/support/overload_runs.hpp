#ifndef GULLSTALL_BENCH_SUPPORT_OVERLOAD_RUNS_HPP
#define GULLSTALL_BENCH_SUPPORT_OVERLOAD_RUNS_HPP

#include "bench/support/overload_experiment.hpp"

/// The measurements of the overload table, shared by the benchmark and the test of its bounds.
namespace gullstall::bench {

/// A way of control to measure.
struct control_plan
{
    std::string name;
    overload_rules rules;
};

/// \returns all ways, the one in use last
inline std::vector<control_plan> controls()
{
    return {
        {"none", {level_rule::none, false, false, false, false, false, false}},
        {"static-limit", {level_rule::static_limit, false, true, false, false, false, false}},
        {"admitted-share", {level_rule::admitted_share, true, true, false, false, false, false}},
        {"queue-target", {level_rule::queue_target, true, true, false, false, false, false}},
        {"keep-worked", {level_rule::queue_target, true, true, true, false, false, false}},
        {"protected-target", {level_rule::queue_target, true, true, true, true, false, false}},
        {"in-use", {level_rule::queue_target, true, true, true, true, true, true}}};
}

constexpr std::uint64_t seed = 20261203;
constexpr double percent = 100;
constexpr int client_repeats = 3;

inline experiment make_experiment(const site_plan &site, const control_plan &control)
{
    return experiment(site, seed, [&control](node &it) {
        it.rules = control.rules;
        it.queue.by_priority = control.rules.priority_queueing;
        if (control.rules.level == level_rule::none) {
            it.queue.hard_limit = std::numeric_limits<std::size_t>::max();
            it.queue.soft_limit = it.queue.hard_limit;
        }
    });
}

struct overload_figures
{
    double goodput;       ///< whole calls, percent of the bottleneck's capacity
    double wasted;        ///< percent of slot time spent on attempts that fail
    double lookup_ratio;  ///< p99 of lookups over that of the unloaded site
};

inline duration unloaded_p99(const site_plan &site, const control_plan &control)
{
    experiment it = make_experiment(site, control);
    it.start_counting();
    it.set_load(0.25 * capacity_of(site) / rate_of(site));
    it.run_for(seconds(4));
    return it.tallies[site.lookup_target].quantile(0.99);
}

/// Load at \a times what the bottleneck sustains.
inline overload_figures run_overload(const site_plan &site, const control_plan &control,
                                     double times)
{
    constexpr duration measured = seconds(5);
    experiment it = make_experiment(site, control);
    it.set_repeats(client_repeats);
    it.set_load(times * capacity_of(site) / rate_of(site));
    it.run_for(seconds(3));
    it.start_counting();
    it.run_for(measured);
    double whole = static_cast<double>(it.wholes) * 1e6 / static_cast<double>(measured.count());
    overload_figures out{};
    out.goodput = percent * whole / capacity_of(site);
    out.wasted = percent * it.wasted_share();
    out.lookup_ratio = static_cast<double>(it.tallies[site.lookup_target].quantile(0.99).count()) /
                       static_cast<double>(unloaded_p99(site, control).count());
    return out;
}

struct protected_figures
{
    double answered;            ///< percent of protected requests that came back whole
    std::uint64_t out_of_turn;  ///< refused where lower work was admitted
};

/// Ten times the load, the protected part at 80 % of the capacity.
inline protected_figures run_protected(const site_plan &site, const control_plan &control)
{
    constexpr double times = 10;
    constexpr double own_share = 0.8;
    experiment it = make_experiment(site, control);
    it.set_repeats(client_repeats);
    it.set_load(1);
    it.run_for(seconds(2));
    it.start_counting();
    it.set_load(times * capacity_of(site) / rate_of(site),
                {{site.protected_target, own_share * capacity_of(site)}});
    it.run_for(seconds(5));
    it.set_load(0);
    it.run_for(seconds(5));
    const tally &count = it.tallies[site.protected_target];
    return {percent * static_cast<double>(count.whole) / static_cast<double>(count.requests),
            it.protected_out_of_turn};
}

struct recovery_figures
{
    double surge_goodput;  ///< percent of the slowed bottleneck's capacity
    bool recovered;
    duration took;  ///< from the trigger's end
};

/// The bottleneck five times slower for 30 s with three times the usual load.
inline recovery_figures run_recovery(const site_plan &site, const control_plan &control)
{
    constexpr double slowness = 5;
    constexpr double surge = 3;
    constexpr duration trigger = seconds(30);
    constexpr duration window = milliseconds(250);
    constexpr duration calm = seconds(10);
    constexpr duration settle = seconds(3);  // time that a late answer still has
    experiment it = make_experiment(site, control);
    it.set_repeats(client_repeats);
    it.set_load(1);
    it.run_for(seconds(5));
    double before = it.whole_share(it.world().now - seconds(3), seconds(2));
    it.start_counting();
    it.slow_down(site.bottleneck, slowness);
    it.set_load(surge);
    it.run_for(trigger);
    double whole = static_cast<double>(it.wholes) * 1e6 / static_cast<double>(trigger.count());
    it.slow_down(site.bottleneck, 1);
    it.set_load(1);
    time_point end = it.world().now;
    it.run_for(calm + settle);
    recovery_figures out{};
    out.surge_goodput = percent * whole / (capacity_of(site) / slowness);
    for (time_point t = end; t < end + calm; t += milliseconds(50)) {
        if (it.whole_share(t, window) < 0.95 * before) {
            out.took = t + window - end;
        }
    }
    out.recovered = out.took < calm;
    return out;
}

/// \returns the share of calls, percent, that an innocent service still
/// answers whole while its neighbour collapses
inline double run_innocent(const site_plan &site, const control_plan &control)
{
    constexpr double slowness = 20;
    const service_plan &other = site.services.front();
    site_plan changed = site;
    changed.calls.push_back(traffic{other.name, "list", site.calls.front().rate});
    changed.bundle += "[call " + other.name + " list]\nclass_name = photo\n";
    experiment it = make_experiment(changed, control);
    it.set_repeats(client_repeats);
    it.set_load(1);
    it.run_for(seconds(2));
    it.slow_down(site.bottleneck, slowness);
    it.start_counting();
    it.run_for(seconds(6));
    it.set_load(0);
    it.run_for(seconds(6));
    const tally &count = it.tallies[other.name + "/list"];
    return percent * static_cast<double>(count.whole) / static_cast<double>(count.requests);
}

}  // namespace gullstall::bench

#endif
