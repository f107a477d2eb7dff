/// Choice of upstream in virtual time: a zone with more load than its own
/// workers carry, a slow worker, a silent one, one that refuses, a new one.

#include <cstdio>
#include <map>

#include "bench/support/route_experiment.hpp"

using namespace gullstall;
using namespace gullstall::bench;

namespace {

/// Zone weights of one router, moved under a price: the step that minimises the
/// expected time plus the relative entropy to the weights before (the
/// regularisation of the paper on online scaling of service chains).
struct priced_zones
{
    double eta_us;
    std::map<const router *, std::map<std::string, double>> weights;
    std::map<const router *, time_point> next;

    static double zone_time(const router &r, const member_table &m, const std::string &zone,
                            const std::string &own)
    {
        double sum = 0;
        double n = 0;
        for (const member *it : upstreams_of(m, "s")) {
            auto record = r.upstreams.find(it->instance);
            if (it->zone != zone || record == r.upstreams.end()) {
                continue;
            }
            double load = 1.0 + record->second.in_flight / 20.0;
            double refusals = 1.0 + 10 * record->second.refused_share;
            sum += record->second.latency_us * load * refusals;
            n += 1;
        }
        return (n == 0 ? 0 : sum / n) + (zone == own ? 0 : 2000);
    }

    void move(const router &r, const member_table &m, const std::string &own, time_point now)
    {
        auto &w = weights[&r];
        if (w.empty()) {
            w = {{"a", 0.05}, {"b", 0.05}, {"c", 0.05}};
            w[own] = 0.9;
        }
        if (now < next[&r]) {
            return;
        }
        next[&r] = now + milliseconds(100);
        double sum = 0;
        for (auto &[zone, weight] : w) {
            weight = std::max(0.001, weight * std::exp(-zone_time(r, m, zone, own) / eta_us));
            sum += weight;
        }
        for (auto &[zone, weight] : w) {
            weight /= sum;
        }
    }

    std::optional<std::string> choose(router &r, const member_table &m, const route_request &q,
                                      random_source &rnd, time_point now)
    {
        move(r, m, q.own_zone, now);
        double x = draw_fraction(rnd);
        std::string zone = q.own_zone;
        for (auto &[name, weight] : weights[&r]) {
            if (x < weight) {
                zone = name;
                break;
            }
            x -= weight;
        }
        member_table only;
        for (const auto &[name, it] : m.members) {
            if (it.zone == zone) {
                only.members[name] = it;
            }
        }
        route_request inside = q;
        inside.own_zone = zone;
        return choose_upstream(r, only, inside, rnd, now);
    }
};

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
    for (double eta_us : {20000.0, 100000.0, 500000.0}) {
        auto zones = std::make_shared<priced_zones>();
        zones->eta_us = eta_us;
        std::string name = "priced " + std::to_string(static_cast<int>(eta_us / 1000)) + " ms";
        run_all({name.c_str(), [zones](router &r, const member_table &m, const route_request &w,
                                       random_source &rnd, time_point now) {
                     return zones->choose(r, m, w, rnd, now);
                 }});
    }
    return 0;
}
