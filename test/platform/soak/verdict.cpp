#include "test/platform/soak/verdict.hpp"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>

namespace gullstall::standin {

namespace {

/// A node may close a connection while a request is under way to it.
constexpr duration crossing_time = milliseconds(200);

constexpr duration stop_time = seconds(6);

/// Runs that end in the last sixth of the stop time may be broken off.
constexpr duration last_runs = stop_time / 6;
constexpr duration late_arrival = seconds(3);

const stop_record *stop_at(const soak_record &from, const sent_request &request)
{
    for (const stop_record &it : from.stops) {
        if (it.node == request.node && it.asked_at <= request.ended_at &&
            request.ended_at <= it.ended_at + seconds(1)) {
            return &it;
        }
    }
    return nullptr;
}

/// \returns whether the node had to break the run off to end in time
bool ran_too_long(const stop_record &stop, const sent_request &request, const run_record &run)
{
    return request.written_at <= stop.asked_at + late_arrival &&
           run.last_ended_at >= stop.asked_at + stop_time - last_runs;
}

std::string tell(const soak_record &from, const sent_request &it, const run_record &run)
{
    const stop_record *stop = stop_at(from, it);
    return it.id + " node " + std::to_string(it.node) + " connection " +
           std::to_string(it.connection) + " " + it.target + (it.behind_another ? " behind" : "") +
           " earlier " + std::to_string(it.earlier_on_connection) + ", written at " +
           std::to_string(to_ms(it.written_at.time_since_epoch())) + " ms, ended after " +
           std::to_string(to_ms(it.ended_at - it.written_at)) + " ms, status " +
           std::to_string(it.status) + " " + it.error + ", runs " + std::to_string(run.runs) +
           ", answered by upstream " + std::to_string(run.ends) +
           (stop ? ", " + std::to_string(to_ms(it.ended_at - stop->asked_at)) + " ms after SIGTERM"
                 : std::string(", no stop"));
}

void judge_cut(const soak_record &from, const sent_request &it, const run_record &run,
               soak_faults &out)
{
    bool was_held = it.ended_at - it.written_at > crossing_time && !it.behind_another;
    if (run.runs == 0 && !was_held) {
        out.crossed.push_back(tell(from, it, run));
        return;
    }
    const stop_record *stop = stop_at(from, it);
    if (stop == nullptr || !ran_too_long(*stop, it, run)) {
        out.lost.push_back(tell(from, it, run));
    }
}

void judge_answer(const soak_record &from, const sent_request &it, const run_record &run,
                  soak_faults &out)
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    if (!it.is_whole) {
        out.mixed.push_back(tell(from, it, run));
    }
    bool is_promise = std::find(promises.begin(), promises.end(), it.status) != promises.end();
    if (is_promise && !it.is_safe && run.runs > 0) {
        out.refused.push_back(tell(from, it, run));
    }
    const stop_record *stop = stop_at(from, it);
    bool beside_run =
        run.runs > 0 && run.last_started_at < it.ended_at && run.last_ended_at > it.ended_at;
    if (!it.sealed && stop != nullptr && beside_run && !ran_too_long(*stop, it, run)) {
        out.broken_off.push_back(tell(from, it, run));
    }
}

}  // namespace

std::size_t soak_faults::count() const
{
    return lost.size() + twice.size() + refused.size() + mixed.size() + broken_off.size() +
           processes.size();
}

soak_faults find_faults(const soak_record &from)
{
    soak_faults out;
    out.processes = from.unexpected_ends;
    for (const auto &it : from.requests) {
        auto found = from.runs.find(it->id);
        run_record run = found == from.runs.end() ? run_record{} : found->second;
        if (it->end == request_end::cut_off || it->end == request_end::behind_close) {
            judge_cut(from, *it, run, out);
        } else if (it->end == request_end::answered) {
            judge_answer(from, *it, run, out);
        }
        if (!it->is_safe && run.runs > 1) {
            out.twice.push_back(tell(from, *it, run));
        }
    }
    for (const stop_record &it : from.stops) {
        bool ended_well = WIFEXITED(it.status) && WEXITSTATUS(it.status) == 0;
        bool ended_before_start =
            !it.had_begun && WIFSIGNALED(it.status) && WTERMSIG(it.status) == SIGTERM;
        if (it.was_killed || (!ended_well && !ended_before_start)) {
            out.processes.push_back(
                "node " + std::to_string(it.node) + " ended with status " +
                std::to_string(it.status) + (it.was_killed ? ", killed after the stop time" : "") +
                ", " + std::to_string(to_ms(it.ended_at - it.asked_at)) + " ms after SIGTERM");
        }
    }
    return out;
}

std::string summarize(const soak_record &from)
{
    std::map<std::string, int> counts;
    for (const auto &it : from.requests) {
        switch (it->end) {
            case request_end::open:
                ++counts["open"];
                break;
            case request_end::answered:
                ++counts[std::to_string(it->status) + (it->sealed ? "" : " own")];
                break;
            case request_end::cut_off:
                ++counts[it->behind_another ? "cut off behind another" : "cut off"];
                break;
            case request_end::behind_close:
                ++counts["behind a close"];
                break;
            case request_end::given_up:
                ++counts["given up"];
                break;
        }
    }
    std::string out = std::to_string(from.requests.size()) + " requests, " +
                      std::to_string(from.stops.size()) + " stops";
    for (const auto &[name, n] : counts) {
        out += "; " + name + " " + std::to_string(n);
    }
    return out;
}

}  // namespace gullstall::standin
