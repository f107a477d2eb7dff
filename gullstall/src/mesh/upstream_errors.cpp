#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

namespace {

/// Shares of failed runs at which the log says that an upstream fails, and that it no longer
/// does.
constexpr double failing_share = 0.2;
constexpr double recovered_share = 0.05;

}  // namespace

bool is_own_error_of_upstream(const local_run &run, std::uint16_t status)
{
    constexpr std::uint16_t first_server_error = 500;
    constexpr std::uint16_t timeout_status = 504;  // it was slow, which its run time tells
    return status >= first_server_error && status != timeout_status && !run.call_failed;
}

void report_upstream_errors(mesh_turn &t)
{
    double share = recent_error_share(t.n.gate, t.now);
    bool is_failing = t.n.reported_errors ? share > recovered_share : share >= failing_share;
    if (is_failing == t.n.reported_errors) {
        return;
    }
    t.n.reported_errors = is_failing;
    t.out.emplace_back(
        write_line{is_failing ? write_line::severity::warning : write_line::severity::info,
                   "serve",
                   is_failing ? "upstream-fails-runs" : "upstream-recovered",
                   {{"upstream", t.n.upstream.latest ? t.n.upstream.latest->upstream : ""},
                    {"error_share", std::to_string(share)}}});
}

}  // namespace gullstall::mesh
