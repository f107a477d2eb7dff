#include <doctest/doctest.h>

#include "test/support/world.hpp"

using namespace gullstall;

namespace {

constexpr const char *bundle_text = R"(
[bundle]
version = 1
previous = none
author = tester
reference = CB-1
[limits]
retry_allowance = 3
retry_budget_percent = 100
)";

/// Chain of four services. The first run at the last service is refused.
struct retry_deep_fixture
{
    test::test_publisher publisher;
    test::simulation w{9};
    std::vector<caller_answer> answers;
    std::map<call_ref, std::pair<std::string, run_ref>> callers;
    std::uint64_t last_call = 1000;
    bool refused_once = false;

    retry_deep_fixture()
    {
        publisher.publish(w.platform, bundle_text);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            execute_run(instance, run);
        };
        w.on_answer = [this](const std::string &, call_ref call, caller_answer &&answer) {
            auto caller = callers.find(call);
            if (caller == callers.end()) {
                answers.push_back(std::move(answer));
                return;
            }
            auto [instance, run] = caller->second;
            std::uint16_t status = answer.outcome == wire::outcome::ran ? answer.status : 502;
            w.after(microseconds(1), [this, instance = instance, run = run, status] {
                w.answer_run(instance, run, worker_end::answered, status);
            });
        };
        std::uint16_t node_number = 0;
        for (int service = 0; service < 4; ++service) {
            for (const char *suffix : {"a", "b"}) {
                std::string name = "s" + std::to_string(service);
                w.add_node(test::make_settings(name + suffix, "midrand", name, ++node_number, 4,
                                               publisher.trusted()));
            }
        }
        w.run_for(seconds(3));
    }

    void execute_run(const std::string &instance, const run_on_worker &run)
    {
        int service = instance[1] - '0';
        if (service == 3) {
            worker_end end = refused_once ? worker_end::answered : worker_end::refused;
            refused_once = true;
            w.answer_run(instance, run.run, end);
            return;
        }
        call_ref call{++last_call};
        callers[call] = {instance, run.run};
        call_request next{"s" + std::to_string(service + 1), "go", "", "", run.context, {}, {}};
        w.feed(instance, call_arrived{call, std::move(next)});
    }
};

}  // namespace

// Guards against an error caused by a planned restart. An upstream four services deep
// is replaced and refuses one call as not run. If the hops above keep the whole
// allowance, the hop that could send the call to another upstream has none left.
TEST_CASE_FIXTURE(retry_deep_fixture, "refused once four deep, allowance of three, answered whole")
{
    w.call("s0a", call_request{"s0", "go", "r1", "", "", {}, {}});
    w.run_for(milliseconds(200));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome == wire::outcome::ran);
    CHECK(answers[0].status == 200);
}
