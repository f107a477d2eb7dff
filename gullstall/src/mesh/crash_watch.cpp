#include "gullstall/src/mesh/crash_watch.hpp"

#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/status_relay.hpp"

namespace gullstall::mesh {

namespace {

/// Time within which a lost run belongs to a crash that is seen later.
constexpr duration lost_run_memory = seconds(5);

/// \returns whether the run had started when the first connection broke. Later ones were sent
/// to an upstream that had already crashed.
bool had_started(const crash_watch &it, const local_run &run)
{
    return run.started_at && (it.lost.empty() || *run.started_at < it.lost.front().at);
}

/// \returns the signatures of the runs that the upstream was running when it crashed
std::vector<request_signature> signatures_at_crash(const mesh_node &n)
{
    std::vector<request_signature> out;
    for (const crash_watch::lost_run &it : n.crashes.lost) {
        out.push_back(it.signature);
    }
    for (const auto &[id, run] : n.runs) {
        if (had_started(n.crashes, run)) {
            out.push_back(run.signature);
        }
    }
    return out;
}

void report_crash(mesh_turn &t, const upstream_heartbeat &upstream, const char *evidence)
{
    std::string incarnation = upstream.upstream + "/" + std::to_string(upstream.started_ms);
    if (incarnation == t.n.crashes.crashed_upstream) {
        return;
    }
    t.n.crashes.crashed_upstream = incarnation;
    std::vector<request_signature> running = signatures_at_crash(t.n);
    t.n.crashes.lost.clear();
    ++t.n.counters.upstream_crashes;
    t.n.counters.runs_lost_in_crashes += running.size();
    std::optional<request_signature> blamed = report_running_requests(t, running);
    t.out.emplace_back(write_line{write_line::severity::warning,
                                  "upstream",
                                  "upstream-crashed",
                                  {{"upstream", upstream.upstream},
                                   {"service", upstream.service},
                                   {"evidence", evidence},
                                   {"runs", std::to_string(running.size())},
                                   {"blamed", blamed ? print_signature(*blamed) : ""}}});
}

}  // namespace

void record_lost_run(mesh_turn &t, const local_run &run)
{
    if (!accepts_work(t.n.upstream)) {
        return;  // it has announced its end
    }
    std::erase_if(t.n.crashes.lost,
                  [&](const crash_watch::lost_run &it) { return t.now - it.at > lost_run_memory; });
    if (had_started(t.n.crashes, run)) {
        t.n.crashes.lost.push_back(crash_watch::lost_run{run.signature, t.now});
    }
    if (!t.n.crashes.probing) {
        t.n.crashes.probing = true;
        t.out.emplace_back(probe_upstream{});
    }
}

void handle_upstream_probe(mesh_turn &t, upstream_probe result)
{
    t.n.crashes.probing = false;
    if (result == upstream_probe::accepted) {
        t.n.crashes.lost.clear();
    } else if (result == upstream_probe::refused && accepts_work(t.n.upstream)) {
        report_crash(t, *t.n.upstream.latest, "connection-refused");
        t.n.upstream.has_crashed = true;
        refuse_queued(t, mesh_wire::reason::no_upstream);
        send_status_to_callers(t);
    }
}

void handle_unannounced_end(mesh_turn &t, const upstream_heartbeat &ended)
{
    if (!t.n.crashes.lost.empty()) {
        report_crash(t, ended, "successor-announced");
    }
}

}  // namespace gullstall::mesh
