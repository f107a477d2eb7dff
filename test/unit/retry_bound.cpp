#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "test/support/world.hpp"

using namespace gullstall;

namespace {

constexpr std::uint32_t allowance_in_bundle = 4;

constexpr const char *bundle_text = R"(
[bundle]
version = 1
previous = none
author = tester
reference = CB-1
[limits]
retry_allowance = 4
retry_budget_percent = 100
default_time_ms = 200
)";

/// One call of the call tree: the calls that it makes in order, and how its runs end.
struct planned_call
{
    std::vector<std::size_t> children;
    std::vector<worker_end> ends;  ///< results of its runs in order, later runs are answered
};

/// Services whose workers execute a planned call tree. The operation of a call is its
/// index in the plan.
struct retry_bound_fixture
{
    static constexpr std::uint16_t services = 3;
    static constexpr std::uint16_t nodes_each = 3;

    test::test_publisher publisher;
    test::simulation w{7};
    std::vector<planned_call> plan;
    std::vector<std::size_t> runs_of;  ///< runs so far, by index in the plan
    std::map<std::pair<std::string, call_ref>, std::function<void(bool)>> waiting;
    std::uint64_t last_call = 1'000'000;
    std::uint64_t last_request = 0;

    retry_bound_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            execute_run(instance, run);
        };
        w.on_answer = [this](const std::string &instance, call_ref call, caller_answer &&answer) {
            auto it = waiting.find({instance, call});
            if (it != waiting.end()) {
                auto on_result = std::move(it->second);
                waiting.erase(it);
                on_result(answer.outcome == wire::outcome::ran && answer.status == 200);
            }
        };
        std::uint16_t number = 0;
        for (std::uint16_t s = 0; s < services; ++s) {
            for (std::uint16_t i = 0; i < nodes_each; ++i) {
                std::string service = "s" + std::to_string(s);
                node &made =
                    w.add_node(test::make_settings(service + "-" + std::to_string(i), "midrand",
                                                   service, ++number, 64, publisher.trusted()));
                // Disabled because a request that lost two runs would be refused
                // before it has used its allowance, and the bound would not be reached.
                made.suspects.refuse_suspects = false;
            }
        }
        w.run_for(seconds(3));
    }

    call_request make_call(std::size_t index, const std::string &id, const std::string &context)
    {
        return call_request{
            "s" + std::to_string(index % services), std::to_string(index), id, "", context, {}, {}};
    }

    void execute_run(const std::string &instance, const run_on_worker &run)
    {
        std::size_t index = std::stoul(run.operation);
        if (index >= plan.size()) {
            return;  // a run of the previous request, which exceeded its deadline
        }
        std::size_t position = runs_of[index]++;
        worker_end end =
            position < plan[index].ends.size() ? plan[index].ends[position] : worker_end::answered;
        call_children(instance, run.run, run.context, index, 0, end);
    }

    void call_children(const std::string &instance, run_ref run, const std::string &context,
                       std::size_t index, std::size_t position, worker_end end)
    {
        if (index >= plan.size()) {
            return;
        }
        if (position == plan[index].children.size() || end == worker_end::not_sent) {
            w.answer_run(instance, run, end);
            return;
        }
        call_ref call{++last_call};
        waiting[{instance, call}] = [=, this](bool succeeded) {
            // Continues after the answer of the child call; its failure fails the run.
            w.after(microseconds(1), [=, this] {
                if (succeeded) {
                    call_children(instance, run, context, index, position + 1, end);
                } else {
                    w.answer_run(instance, run, worker_end::lost);
                }
            });
        };
        w.feed(instance,
               call_arrived{call, make_call(plan[index].children[position], "", context)});
    }

    std::uint64_t count_retries() const
    {
        std::uint64_t n = 0;
        for (const auto &[name, it] : w.nodes) {
            n += it.counters.calls_resent;
        }
        return n;
    }

    /// Executes the plan as one request.
    /// \returns the number of retries that all nodes made for it
    std::uint64_t retries_of_request()
    {
        runs_of.assign(plan.size(), 0);
        std::uint64_t before = count_retries();
        w.call("s0-0", make_call(0, "r" + std::to_string(++last_request), ""));
        w.run_for(milliseconds(250));
        plan.clear();
        waiting.clear();
        return count_retries() - before;
    }

    void set_divide_allowance(bool on)
    {
        for (auto &[name, it] : w.nodes) {
            it.guards.divide_allowance = on;
        }
    }
};

/// Generates a random call tree: depth up to 22, up to 4 calls per run and 40 calls in
/// total, each with up to 4 failing runs.
std::vector<planned_call> generate_plan(std::uint64_t seed)
{
    random_source random(seed);
    std::vector<planned_call> out;
    std::vector<std::size_t> depth;
    std::size_t max_depth = 1 + draw_below(random, 22);
    std::size_t fan_out = 1 + draw_below(random, 4);
    std::uint64_t fail_percent = draw_below(random, 60);
    out.emplace_back();
    depth.push_back(1);
    constexpr std::size_t max_calls = 40;
    for (std::size_t i = 0; i < out.size(); ++i) {
        std::size_t n = depth[i] < max_depth ? 1 + draw_below(random, fan_out) : 0;
        for (std::size_t k = 0; k < n && out.size() < max_calls; ++k) {
            out[i].children.push_back(out.size());
            out.emplace_back();
            depth.push_back(depth[i] + 1);
        }
        constexpr std::array ends{worker_end::lost, worker_end::refused, worker_end::not_sent};
        while (out[i].ends.size() < 4 && draw_below(random, 100) < fail_percent) {
            out[i].ends.push_back(ends[draw_below(random, ends.size())]);
        }
    }
    return out;
}

}  // namespace

// Guards against retry amplification. The deepest service of a chain fails every run.
// If each hop above it retries independently, the attempts multiply from hop to hop
// and the failing service receives hundreds of calls for one request.
TEST_CASE_FIXTURE(retry_bound_fixture,
                  "allowance, copied to every call in place of divided, retries multiply")
{
    set_divide_allowance(false);
    const std::size_t deep = 6;
    for (std::size_t i = 0; i < deep; ++i) {
        plan.push_back(planned_call{
            i + 1 < deep ? std::vector<std::size_t>{i + 1} : std::vector<std::size_t>{},
            i + 1 < deep ? std::vector<worker_end>{}
                         : std::vector<worker_end>(1000, worker_end::lost)});
    }
    CHECK(retries_of_request() > allowance_in_bundle);
}

TEST_CASE_FIXTURE(retry_bound_fixture, "allowance, any tree and mix of losses, never exceeded")
{
    // A fixed seed makes the test deterministic.
    setenv("RC_PARAMS", "seed=20261202 max_success=10000 max_size=1000", 1);
    std::uint64_t max_retries = 0;
    std::uint64_t retried_requests = 0;
    bool held = rc::check("retries stay within the allowance", [&](std::uint64_t seed) {
        plan = generate_plan(seed);
        constexpr std::uint64_t loss_choices = 3;
        constexpr double loss_step = 0.02;
        w.loss_rate = static_cast<double>(seed % loss_choices) * loss_step;
        std::uint64_t n = retries_of_request();
        max_retries = std::max(max_retries, n);
        retried_requests += n > 0 ? 1 : 0;
        RC_ASSERT(n <= allowance_in_bundle);
    });
    CHECK(held);
    MESSAGE("maximum retries of one request ", max_retries, ", requests with retries ",
            retried_requests);
    CHECK(max_retries == allowance_in_bundle);  // the bound was also reached
    CHECK(retried_requests > 1000);
}

TEST_CASE_FIXTURE(retry_bound_fixture, "call from a worker, context unknown, no allowance")
{
    plan.push_back(planned_call{{}, std::vector<worker_end>(8, worker_end::lost)});
    runs_of.assign(1, 0);
    std::uint64_t before = count_retries();
    w.call("s0-0", make_call(0, "r", "s0-0:1:999999"));
    w.run_for(milliseconds(250));
    CHECK(count_retries() == before);
    CHECK(w.nodes.at("s0-0").counters.unknown_contexts == 1);
}
