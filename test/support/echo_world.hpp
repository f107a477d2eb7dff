#ifndef GULLSTALL_TEST_SUPPORT_ECHO_WORLD_HPP
#define GULLSTALL_TEST_SUPPORT_ECHO_WORLD_HPP

#include "test/support/world.hpp"

namespace gullstall::test {

/// A simulated cluster whose workers echo each body after 10 ms; collects the answers.
struct echo_simulation
{
    test_publisher publisher;
    simulation w;
    std::vector<caller_answer> answers;

    /// \param bundle text of the bundle in force at all nodes
    echo_simulation(std::uint64_t seed, const std::string &bundle) : w(seed)
    {
        publisher.publish(w.platform, bundle);
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            w.after(milliseconds(10), [this, instance, id = run.run, body = run.body] {
                w.answer_run(instance, id, worker_end::answered, 200, body);
            });
        };
        w.on_answer = [this](const std::string &, call_ref, caller_answer &&answer) {
            answers.push_back(std::move(answer));
        };
    }

    echo_simulation(const echo_simulation &) = delete;
    echo_simulation &operator=(const echo_simulation &) = delete;

    /// Adds a node with four slots.
    void add(const std::string &instance, const std::string &zone, const std::string &service,
             std::uint16_t number)
    {
        constexpr std::uint32_t slots = 4;
        w.add_node(make_settings(instance, zone, service, number, slots, publisher.trusted()));
    }
};

}  // namespace gullstall::test

#endif
