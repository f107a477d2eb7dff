#include <boost/json.hpp>

#include "gullstall/src/node/internal.hpp"

namespace gullstall::internal {

namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_not_found = 404;
constexpr const char *json_type = "application/json";
constexpr const char *text_type = "text/plain; version=0.0.4";

std::string print_members(const node &n)
{
    boost::json::array out;
    for (const auto &[instance, it] : n.members.members) {
        out.push_back(boost::json::object{{"instance", instance},
                                          {"service", it.service},
                                          {"zone", it.zone},
                                          {"region", it.region},
                                          {"address", it.address},
                                          {"port", it.port},
                                          {"admin_port", it.admin_port},
                                          {"incarnation", it.incarnation},
                                          {"state", wire::EnumNamemember_state(it.state)}});
    }
    return boost::json::serialize(out) + "\n";
}

std::string print_status(const node &n)
{
    boost::json::object out{{"instance", n.settings.node.instance},
                            {"bundle_version", version_in_force(n.bundles)},
                            {"since_us", n.bundles.since.time_since_epoch().count()},
                            {"ready", n.slots > 0 && n.bundles.in_force.has_value()},
                            {"stopping", n.stopping}};
    if (n.bundles.in_force) {
        boost::json::array signers;
        for (const std::string &it : n.bundles.in_force->signers) {
            signers.emplace_back(it);
        }
        out["digest"] = n.bundles.in_force->digest;
        out["author"] = n.bundles.in_force->content.head.author;
        out["reference"] = n.bundles.in_force->content.head.reference;
        out["heard_version"] = std::max(version_in_force(n.bundles), n.bundles.follow.target);
        out["signers"] = signers;
    }
    return boost::json::serialize(out) + "\n";
}

std::string format_metric(const char *name, std::uint64_t n)
{
    return std::string("gullstall_") + name + " " + std::to_string(n) + "\n";
}

std::string print_metrics(const node &n)
{
    std::string out = format_metric("calls_taken_total", n.counters.calls_taken) +
                      format_metric("calls_answered_total", n.counters.calls_answered) +
                      format_metric("calls_resent_total", n.counters.calls_resent) +
                      format_metric("repeats_joined_total", n.counters.repeats_joined) +
                      format_metric("contexts_unknown_total", n.counters.unknown_contexts) +
                      format_metric("runs_started_total", n.counters.runs_started) +
                      format_metric("runs_lost_total", n.counters.runs_lost) +
                      format_metric("calls_in_flight", n.calls.size()) +
                      format_metric("slots_used", n.slots_used) +
                      format_metric("queue_length", n.queue.waiting.size()) +
                      format_metric("admission_level", n.level.level.highest) +
                      format_metric("bundle_version", version_in_force(n.bundles));
    for (const auto &[name, count] : n.counters.refusals) {
        std::size_t slash = name.find('/');
        out += "gullstall_refusals_total{reason=\"" + name.substr(0, slash) + "\",class=\"" +
               name.substr(slash + 1) + "\"} " + std::to_string(count) + "\n";
    }
    out += print_latency("call_seconds", n.latencies.call) +
           print_latency("queue_wait_seconds", n.latencies.queue_wait) +
           print_latency("run_seconds", n.latencies.run);
    return out;
}

}  // namespace

void on_admin_asked(step_context &t, const admin_requested &e)
{
    answer_admin answer{e.question, http_ok, json_type, ""};
    if (e.target == "/metrics") {
        answer.content_type = text_type;
        answer.body = print_metrics(t.n);
    } else if (e.target == "/members") {
        answer.body = print_members(t.n);
    } else if (e.target == "/status") {
        answer.body = print_status(t.n);
    } else if (e.target == "/timeline") {
        answer.body =
            print_timeline(t.n.events, t.n.settings.node.instance, t.n.settings.node.zone);
    } else if (e.target == "/drain") {
        answer.body = "{}\n";
        on_stop_requested(t);
    } else {
        answer.status = http_not_found;
        answer.body = "{\"error\":\"no such page\"}\n";
    }
    t.out.emplace_back(std::move(answer));
}

}  // namespace gullstall::internal
