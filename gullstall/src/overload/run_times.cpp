#include "gullstall/src/overload/run_times.hpp"

namespace gullstall {

namespace {

constexpr double newest_weight = 0.1;

/// Part of the usual time below which hardly a run finishes.
constexpr double least_part = 0.5;

constexpr double kept_on_refusal = 0.99;

}  // namespace

void learn_run_time(run_times &it, const std::string &operation, duration held)
{
    auto us = static_cast<double>(held.count());
    auto [entry, is_new] = it.held_us.try_emplace(operation, us);
    entry->second += newest_weight * (us - entry->second);
}

bool can_finish(run_times &it, const std::string &operation, duration wait, duration left)
{
    auto known = it.held_us.find(operation);
    if (known == it.held_us.end()) {
        return true;
    }
    double needed_us = static_cast<double>(wait.count()) + known->second * least_part;
    if (needed_us <= static_cast<double>(left.count())) {
        return true;
    }
    known->second *= kept_on_refusal;
    return false;
}

}  // namespace gullstall
