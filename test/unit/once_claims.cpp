#include <doctest/doctest.h>

#include <cmath>
#include <cstdio>

#include "gullstall/once.hpp"
#include "gullstall/src/core/random.hpp"
#include "test/standins/platform_store.hpp"

using namespace gullstall;

namespace {

/// Two nodes of a zone claim one key through the zone's writer.
struct claim_group_fixture
{
    standin::platform_store platform;
    claim_group group;
    time_point now{seconds(1000)};

    static row_write claim_of(const std::string &token)
    {
        claim_row row;
        row.token = token;
        return row_write{std::string(claim_row_prefix) + "k", 0, encode_claim(row)};
    }

    /// \returns how many of the two nodes were told that their claim is written
    int claim_twice()
    {
        add_batch(group, forwarded_batch{"a", 1, {claim_of("a")}});
        add_batch(group, forwarded_batch{"b", 1, {claim_of("b")}});
        int written = 0;
        for (int i = 0; i < 3; ++i) {
            now += milliseconds(20);
            if (auto commit = next_group(group, now)) {
                platform_answer answer = platform.ask(commit->commit);
                for (const batch_answer &it : take_group_answer(group, commit->number, answer)) {
                    written += it.answer.status == platform_status::done ? 1 : 0;
                }
            }
        }
        return written;
    }
};

constexpr double plan_calls_per_second = 27000;
/// Share of calls that are dispatches, deposits or collections, in the mix of
/// the demo's larger deployment; an estimate, the letters give no figure.
constexpr double claimed_share = 0.125;
constexpr std::size_t plan_nodes = 560;
constexpr std::size_t plan_zones = 3;
constexpr duration run_time = milliseconds(40);
constexpr duration table_time = milliseconds(10);

/// Claims and outcomes of the plan's calls, spread evenly over its nodes.
struct plan_load
{
    struct due_write
    {
        std::size_t node;
        std::string key;
        claim_row row;
        std::uint64_t version;
    };

    explicit plan_load(bool in_zones) : groups(in_zones ? plan_zones : plan_nodes) {}

    random_source random{1};
    std::vector<claim_writer> writers{plan_nodes};
    std::vector<claim_group> groups;
    standin::platform_store platform;
    std::multimap<time_point, due_write> outcomes;
    struct due_answer
    {
        std::size_t group;
        std::uint64_t commit;
        platform_answer answer;
    };
    std::multimap<time_point, due_answer> answers;
    std::uint64_t last_key = 0;
    std::uint64_t claimed = 0;
    time_point now{seconds(1000)};

    void order(due_write it)
    {
        claim_write write;
        write.row = std::move(it.row);
        write.expected_version = it.version;
        write.give_up_at = now + seconds(600);
        order_write(writers[it.node], it.key, std::move(write));
    }

    void take(std::size_t node, const batch_answer &it)
    {
        for (claim_verdict &verdict :
             take_commit_answer(writers[node], it.number, it.answer, now)) {
            REQUIRE(verdict.what == claim_verdict::kind::written);
            if (verdict.row.state == wire::claim_state::claimed) {
                ++claimed;
                verdict.row.state = wire::claim_state::ran;
                outcomes.emplace(now + run_time,
                                 due_write{node, verdict.key, verdict.row, verdict.version});
            }
        }
    }

    void arrive(double per_tick)
    {
        auto n = static_cast<int>(per_tick + draw_fraction(random));
        for (int i = 0; i < n; ++i) {
            claim_row row;
            row.token = std::to_string(++last_key);
            order({draw_below(random, plan_nodes), row.token, row, 0});
        }
    }

    void step()
    {
        now += milliseconds(5);
        arrive(plan_calls_per_second * claimed_share * 0.005);
        while (!outcomes.empty() && outcomes.begin()->first <= now) {
            order(std::move(outcomes.begin()->second));
            outcomes.erase(outcomes.begin());
        }
        for (std::size_t i = 0; i < plan_nodes; ++i) {
            if (auto batch = next_commit(writers[i], now)) {
                add_batch(groups[i % groups.size()],
                          forwarded_batch{std::to_string(i), batch->number, batch->commit.rows});
            }
        }
        for (std::size_t i = 0; i < groups.size(); ++i) {
            if (auto commit = next_group(groups[i], now)) {
                answers.emplace(now + table_time,
                                due_answer{i, commit->number, platform.ask(commit->commit)});
            }
        }
        while (!answers.empty() && answers.begin()->first <= now) {
            due_answer it = std::move(answers.begin()->second);
            answers.erase(answers.begin());
            for (const batch_answer &one :
                 take_group_answer(groups[it.group], it.commit, it.answer)) {
                take(std::stoul(one.origin), one);
            }
        }
    }

    /// \returns commits per second
    double run_seconds(int n)
    {
        for (int i = 0; i < n * 200; ++i) {
            step();
        }
        return static_cast<double>(platform.writes) / n;
    }
};

}  // namespace

// Story: a dispatch is sent to two nodes of a zone at once, and both claims
// reach the zone's writer within its group. In one commit both stand at the
// expected version, both nodes are told `written`, and two crews are sent.
TEST_CASE_FIXTURE(claim_group_fixture, "claim group, one key twice, written for one node only")
{
    SUBCASE("guard off: both are told written")
    {
        group.keep_keys_apart = false;
        CHECK(claim_twice() == 2);
    }
    SUBCASE("guard on")
    {
        CHECK(claim_twice() == 1);
    }
}

TEST_CASE("claims, 27000 calls per second over 560 nodes, below several hundred writes")
{
    constexpr double table_writes_per_second = 300;
    plan_load alone{false};
    double ungrouped = alone.run_seconds(2);
    plan_load it{true};
    double commits = it.run_seconds(4);
    std::printf(
        "claims: %.0f a second, %.0f commits a second grouped in zones, %.0f when each node "
        "commits; headroom %.2f of %.0f writes a second\n",
        static_cast<double>(it.claimed) / 4, commits, ungrouped, table_writes_per_second / commits,
        table_writes_per_second);
    CHECK(ungrouped > table_writes_per_second);
    CHECK(commits <= plan_zones * 50);
    CHECK(static_cast<double>(it.claimed) / 4 > 0.95 * plan_calls_per_second * claimed_share);
}
