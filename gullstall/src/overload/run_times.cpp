#include "gullstall/src/overload/run_times.hpp"

namespace gullstall {

namespace {

constexpr double newest_weight = 0.1;

/// Part of the usual time below which hardly a run finishes.
constexpr double least_part = 0.5;

constexpr double kept_on_refusal = 0.99;

/// Runs that are seen before what was learned refuses anything.
constexpr std::uint32_t least_runs = 8;

}  // namespace

void learn_run_time(run_times &it, const std::string &operation, duration held)
{
    auto us = static_cast<double>(held.count());
    run_time &known = it.operations[operation];
    known.held_us = known.runs == 0 ? us : known.held_us + newest_weight * (us - known.held_us);
    ++known.runs;
}

bool can_finish(run_times &it, const std::string &operation, duration wait, duration left)
{
    auto known = it.operations.find(operation);
    if (known == it.operations.end() || known->second.runs < least_runs) {
        return true;
    }
    double needed_us = static_cast<double>(wait.count()) + known->second.held_us * least_part;
    if (needed_us <= static_cast<double>(left.count())) {
        return true;
    }
    known->second.held_us *= kept_on_refusal;
    return false;
}

}  // namespace gullstall
