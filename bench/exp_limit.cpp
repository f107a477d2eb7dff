// Compares ways to keep to the limits that upstreams name: worst 4 s at a limited upstream as a
// fraction of what is allowed, use of the limits, and what it costs callers.

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>

#include "test/support/limit_load.hpp"

using namespace gullstall;

namespace {

struct deployment
{
    int upstreams;
    int desks;
    int callers;
    double load;  ///< relative to that of the smallest one
};

struct way
{
    const char *name;
    mesh::mesh_features features;
};

std::vector<way> ways()
{
    std::vector<way> out{{"none", {}}, {"gate", {}}, {"gate and placing", {}}};
    out[0].features.upstream_limits = false;
    out[1].features.limit_placing = false;
    return out;
}

constexpr duration length = seconds(20);
constexpr duration begin = seconds(2);

mesh::upstream_notice limited_to(double per_s)
{
    return mesh::upstream_notice{per_s, false, ""};
}

struct scenario
{
    const char *name;
    void (*apply)(test::limit_experiment &it, double usual_per_s, random_source &random);
};

void limit_all(test::limit_experiment &it, double per_s)
{
    for (int i = 0; i < it.upstreams; ++i) {
        it.changes.push_back({begin, i, limited_to(per_s)});
    }
}

void limit_two(test::limit_experiment &it, double usual, random_source &)
{
    it.changes = {{begin, 0, limited_to(0.4 * usual)}, {begin, 1, limited_to(0.18 * usual)}};
}

void limit_all_low(test::limit_experiment &it, double usual, random_source &)
{
    limit_all(it, 0.6 * usual);
}

void limit_all_high(test::limit_experiment &it, double usual, random_source &)
{
    limit_all(it, 1.2 * usual);
}

void limit_one_to_zero(test::limit_experiment &it, double, random_source &)
{
    it.changes = {{begin, 0, limited_to(0)}, {seconds(12), 0, mesh::upstream_notice{}}};
}

void change_each_second(test::limit_experiment &it, double usual, random_source &random)
{
    for (int i = 0; i < 2; ++i) {
        for (duration at = begin; at < length; at += seconds(1)) {
            it.changes.push_back({at, i, limited_to(usual * (0.1 + draw_fraction(random)))});
        }
    }
}

void lift_and_name_again(test::limit_experiment &it, double usual, random_source &)
{
    bool is_limited = true;
    for (duration at = begin; at < length; at += seconds(5)) {
        it.changes.push_back(
            {at, 0, is_limited ? limited_to(0.3 * usual) : mesh::upstream_notice{}});
        is_limited = !is_limited;
    }
}

void restart_gates(test::limit_experiment &it, double usual, random_source &random)
{
    limit_two(it, usual, random);
    it.restarts = {{seconds(8), 0}, {seconds(9), 1}, {seconds(13), 0}};
}

const std::vector<scenario> scenarios{{"two, far below the usual", limit_two},
                                      {"all, 0.6 of the usual", limit_all_low},
                                      {"all, 1.2 of the usual", limit_all_high},
                                      {"one, zero for 10 s", limit_one_to_zero},
                                      {"two, another each second", change_each_second},
                                      {"one, lifted and named again", lift_and_name_again},
                                      {"two, their nodes restart", restart_gates}};

test::limit_outcome play(const way &how, const scenario &day, const deployment &size,
                         std::uint64_t seed)
{
    test::limit_experiment what;
    what.seed = seed;
    what.upstreams = size.upstreams;
    what.desks = size.desks;
    what.callers = size.callers;
    what.length = length;
    what.features = how.features;
    double all = 0;
    for (double &it : what.per_s) {
        it *= size.load;
        all += it;
    }
    random_source random(seed);
    day.apply(what, all / size.upstreams, random);
    return test::limit_world(what).play();
}

double share(std::size_t part, std::size_t all)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, all));
}

}  // namespace

/// \param argv number of seeds, and of sizes from the smallest; 3 of each if not given
int main(int argc, char **argv)
{
    int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    int sizes = argc > 2 ? std::atoi(argv[2]) : 3;
    std::cout << "nodes | scenario | way | worst window | used | order, lookup, browse served | "
                 "refused | sends per request | slowest s\n"
              << std::fixed << std::setprecision(3);
    std::vector<deployment> all{{5, 4, 6, 1}, {12, 10, 39, 2}, {20, 20, 155, 3}};
    all.resize(static_cast<std::size_t>(std::clamp(sizes, 1, 3)));
    for (const deployment &size : all) {
        for (const scenario &day : scenarios) {
            for (const way &how : ways()) {
                test::limit_outcome sum;
                for (int seed = 1; seed <= seeds; ++seed) {
                    test::limit_outcome it = play(how, day, size, static_cast<std::uint64_t>(seed));
                    sum.worst_window = std::max(sum.worst_window, it.worst_window);
                    sum.slowest_s = std::max(sum.slowest_s, it.slowest_s);
                    sum.used += it.used / seeds;
                    sum.sends_per_request += it.sends_per_request / seeds;
                    for (std::size_t i = 0; i < sum.kinds.size(); ++i) {
                        sum.kinds[i].sent += it.kinds[i].sent;
                        sum.kinds[i].served += it.kinds[i].served;
                        sum.kinds[i].refused += it.kinds[i].refused;
                    }
                }
                std::cout << size.upstreams + size.desks + size.callers << " | " << day.name
                          << " | " << how.name << " | " << sum.worst_window << " | " << sum.used
                          << " | " << share(sum.kinds[0].served, sum.kinds[0].sent) << ", "
                          << share(sum.kinds[1].served, sum.kinds[1].sent) << ", "
                          << share(sum.kinds[2].served, sum.kinds[2].sent) << " | "
                          << sum.kinds[0].refused + sum.kinds[1].refused + sum.kinds[2].refused
                          << " | " << sum.sends_per_request << " | " << sum.slowest_s << std::endl;
            }
        }
    }
    return 0;
}
