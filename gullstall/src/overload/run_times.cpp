#include "gullstall/src/overload/run_times.hpp"

namespace gullstall {

namespace {

constexpr double smoothing_factor = 0.1;

/// Fraction of the mean time in which hardly any run finishes.
constexpr double min_time_fraction = 0.5;

constexpr double refusal_decay = 0.99;

/// Number of recorded runs before the mean is used to refuse calls.
constexpr std::uint32_t min_runs = 8;

}  // namespace

void record_run_time(run_times &times, const std::string &operation, duration held)
{
    auto us = static_cast<double>(held.count());
    run_time &known = times.operations[operation];
    known.mean_hold_us =
        known.runs == 0 ? us : known.mean_hold_us + smoothing_factor * (us - known.mean_hold_us);
    ++known.runs;
}

bool can_finish(run_times &times, const std::string &operation, duration wait, duration left)
{
    auto known = times.operations.find(operation);
    if (known == times.operations.end() || known->second.runs < min_runs) {
        return true;
    }
    double needed_us =
        static_cast<double>(wait.count()) + known->second.mean_hold_us * min_time_fraction;
    if (needed_us <= static_cast<double>(left.count())) {
        return true;
    }
    known->second.mean_hold_us *= refusal_decay;
    return false;
}

}  // namespace gullstall
