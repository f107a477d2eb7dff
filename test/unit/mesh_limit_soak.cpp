#include <doctest/doctest.h>

#include <cstdlib>

#include "test/support/limit_load.hpp"

using namespace gullstall;

namespace {

/// Seeds that are played; more by hand with GULLSTALL_SOAK_SEEDS.
int seeds_to_play()
{
    constexpr int default_seeds = 4;
    const char *text = std::getenv("GULLSTALL_SOAK_SEEDS");
    return text == nullptr ? default_seeds : std::max(1, std::atoi(text));
}

constexpr duration day_length = seconds(20);

/// A small site whose limits, leaves, restarts, frozen nodes and cuts are drawn from a seed.
class random_limit_day
{
public:
    explicit random_limit_day(std::uint64_t seed) : random_(seed), what_(draw(seed)), site_(what_)
    {
    }

    test::limit_outcome play()
    {
        for (int i = pick(4); i > 0; --i) {
            schedule_freeze(test::limit_world::book(pick(what_.upstreams)));
            schedule_cut("shop-" + std::to_string(pick(what_.callers)),
                         test::limit_world::book(pick(what_.upstreams)));
        }
        begin_ = site_.world.now;
        return site_.play();
    }

    /// \returns the requests sent by clients later than the drain time after an upstream had
    /// announced its leave that have reached it
    std::size_t late_requests() const
    {
        constexpr duration drain_time = seconds(2);
        constexpr duration first_answer_time = milliseconds(500);
        std::size_t out = 0;
        for (const test::upstream_run &run : site_.world.runs) {
            auto sent = site_.world.results.find(run.request_id);
            bool is_late =
                leaving_ && sent != site_.world.results.end() &&
                sent->second.sent_at > begin_ + *leaving_ + first_answer_time + drain_time;
            out += is_late && run.node == test::limit_world::book(0) ? 1 : 0;
        }
        return out;
    }

private:
    int pick(int n)
    {
        return static_cast<int>(draw_fraction(random_) * n);
    }

    test::limit_experiment draw(std::uint64_t seed)
    {
        test::limit_experiment out;
        out.seed = seed;
        out.length = day_length;
        if (pick(2) == 0) {
            leaving_ = seconds(1 + pick(10));
            out.changes.push_back({*leaving_, 0, mesh::upstream_notice{std::nullopt, true, ""}});
        }
        int limited = 1 + pick(out.upstreams - 1);
        for (int i = 1; i <= limited; ++i) {
            duration at = seconds(1 + pick(5));
            for (int left = 1 + pick(6); left > 0 && at < day_length; --left) {
                out.changes.push_back({at, i, draw_notice()});
                at += milliseconds(500 + pick(5000));
            }
        }
        for (int i = pick(5); i > 0; --i) {
            out.restarts.emplace_back(seconds(2 + pick(15)), pick(out.upstreams));
        }
        return out;
    }

    mesh::upstream_notice draw_notice()
    {
        constexpr int highest_limit = 100;
        mesh::upstream_notice out;
        if (pick(5) > 0) {
            out.limit_per_s = pick(4) == 0 ? 0 : draw_fraction(random_) * highest_limit;
        }
        return out;
    }

    void schedule_freeze(const std::string &node)
    {
        site_.world.schedule_after(seconds(pick(15)), [this, node] {
            site_.world.paused_nodes.insert(node);
            site_.world.schedule_after(milliseconds(200 + pick(4000)),
                                       [this, node] { site_.world.paused_nodes.erase(node); });
        });
    }

    void schedule_cut(const std::string &a, const std::string &b)
    {
        site_.world.schedule_after(seconds(pick(15)), [this, a, b] {
            site_.world.partitions.insert({a, b});
            site_.world.partitions.insert({b, a});
            site_.world.schedule_after(milliseconds(200 + pick(6000)), [this, a, b] {
                site_.world.partitions.erase({a, b});
                site_.world.partitions.erase({b, a});
            });
        });
    }

    random_source random_;
    std::optional<duration> leaving_;  ///< when the first upstream announces its leave
    test::limit_experiment what_;
    test::limit_world site_;
    time_point begin_{};
};

}  // namespace

// Guards against upstreams that get more than they take, or requests after their leave, among
// limits that change, restarts, frozen nodes and cuts.
TEST_CASE("limits and leaves, random changes and faults, are kept")
{
    for (int seed = 1; seed <= seeds_to_play(); ++seed) {
        random_limit_day day(static_cast<std::uint64_t>(seed));
        test::limit_outcome out = day.play();
        INFO("seed ", seed);
        CHECK(out.worst_window <= 1);
        CHECK(day.late_requests() == 0);
        MESSAGE("seed ", seed, ": worst window ", out.worst_window, ", used ", out.used,
                ", lookups served ", out.kinds[1].served, " of ", out.kinds[1].sent);
    }
}
