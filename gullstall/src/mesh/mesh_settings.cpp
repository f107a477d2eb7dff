#include "gullstall/src/mesh/mesh_settings.hpp"

#include <array>

namespace gullstall::mesh {

namespace {

constexpr std::array<std::string_view, 6> sections{"node",  "listen", "upstream",
                                                   "store", "limits", "log"};

constexpr std::array node_rules{field_rule{"name", true}, field_rule{"zone", true},
                                field_rule{"memory_mb", false, 32, 1U << 20U}};
constexpr std::array listen_rules{field_rule{"callers", true}, field_rule{"peers", true},
                                  field_rule{"readiness", true}, field_rule{"control", true},
                                  field_rule{"metrics", true}};
constexpr std::array upstream_rules{field_rule{"heartbeat_interval_ms", false, 10, 60000}};
constexpr std::array store_rules{field_rule{"endpoint", true},
                                 field_rule{"feed_wait_ms", false, 100, 30000},
                                 field_rule{"timeout_ms", false, 10, 60000}};
constexpr std::array limits_rules{
    field_rule{"stop_s", false, 0.5, 600},        field_rule{"retry_ratio", false, 0, 1},
    field_rule{"retry_slack", false, 0, 1000000}, field_rule{"retry_window_s", false, 0.1, 3600},
    field_rule{"quarantine_s", false, 0, 3600},   field_rule{"quota_window_s", false, 0.1, 3600},
    field_rule{"quota_overage", false, 0, 10},    field_rule{"quota_slack", false, 0, 1000000},
    field_rule{"cost_spread", false, 0, 1000}};
constexpr std::array log_rules{field_rule{"lines_per_second", false, 1, 100000}};

/// Validates the value of an endpoint key.
result<done> check_endpoint(const ini_document &document, const std::string &section,
                            const std::string &key, const std::string &text,
                            bool is_optional = false)
{
    if (text.empty() && is_optional) {
        return done{};
    }
    result<endpoint> read = parse_endpoint(text);
    if (!succeeded(read)) {
        return at_key(document, section, key, error_of(read));
    }
    return done{};
}

result<done> check_values(const ini_document &document, const mesh_settings &it)
{
    for (const result<done> &checked :
         {check_endpoint(document, "listen", "callers", it.listen.callers),
          check_endpoint(document, "listen", "peers", it.listen.peers),
          check_endpoint(document, "listen", "readiness", it.listen.readiness),
          check_endpoint(document, "listen", "control", it.listen.control),
          check_endpoint(document, "listen", "metrics", it.listen.metrics),
          check_endpoint(document, "upstream", "endpoint", it.upstream.endpoint, true),
          check_endpoint(document, "store", "endpoint", it.store.endpoint)}) {
        if (!succeeded(checked)) {
            return checked;
        }
    }
    return done{};
}

/// Removes the entries of \a section that can't be read and adds their errors to \a errors.
template <class Table>
void drop_bad_entries(ini_document &document, const std::string &section,
                      std::span<const field_rule> rules, std::vector<std::string> &errors)
{
    for (ini_section &it : document.sections) {
        if (it.kind != section) {
            continue;
        }
        std::erase_if(it.entries, [&](const ini_entry &entry) {
            ini_section single = it;
            single.entries = {entry};
            auto read = read_section<Table>(document, single, rules);
            if (!succeeded(read)) {
                errors.push_back(error_of(read).message);
            }
            return !succeeded(read);
        });
    }
}

}  // namespace

result<mesh_settings> parse_mesh_settings(const std::string &name, std::string_view text,
                                          bad_value_policy bad_values)
{
    result<ini_document> parsed = parse_ini(name, text);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    ini_document document = value_of(std::move(parsed));
    mesh_settings out;
    if (bad_values == bad_value_policy::use_defaults) {
        drop_bad_entries<mesh_config::limits_section>(document, "limits", limits_rules,
                                                      out.ignored_values);
        drop_bad_entries<mesh_config::log_section>(document, "log", log_rules, out.ignored_values);
    }
    namespace config = mesh_config;
    const std::array<result<done>, 7> steps{
        check_sections(document, sections),
        load_section<config::node_section>(document, "node", node_rules, out.node),
        load_section<config::listen_section>(document, "listen", listen_rules, out.listen),
        load_section<config::upstream_section>(document, "upstream", upstream_rules, out.upstream),
        load_section<config::store_section>(document, "store", store_rules, out.store),
        load_section<config::limits_section>(document, "limits", limits_rules, out.limits),
        load_section<config::log_section>(document, "log", log_rules, out.log)};
    for (const result<done> &it : steps) {
        if (!succeeded(it)) {
            return error_of(it);
        }
    }
    result<done> checked = check_values(document, out);
    if (!succeeded(checked)) {
        return error_of(checked);
    }
    out.stop_time = from_seconds(out.limits.stop_s);
    return out;
}

std::string print_mesh_settings(const mesh_settings &it)
{
    auto number = [](auto n) { return std::to_string(n); };
    return "[node]\nname = " + it.node.name + "\nzone = " + it.node.zone +
           "\nservice = " + it.node.service + "\nmemory_mb = " + number(it.node.memory_mb) +
           "\n\n[listen]\ncallers = " + it.listen.callers + "\npeers = " + it.listen.peers +
           "\nreadiness = " + it.listen.readiness + "\ncontrol = " + it.listen.control +
           "\nmetrics = " + it.listen.metrics +
           "\n\n[upstream]\nendpoint = " + it.upstream.endpoint +
           "\nheartbeat_interval_ms = " + number(it.upstream.heartbeat_interval_ms) +
           "\n\n[store]\nendpoint = " + it.store.endpoint +
           "\nfeed_wait_ms = " + number(it.store.feed_wait_ms) +
           "\ntimeout_ms = " + number(it.store.timeout_ms) +
           "\n\n[limits]\nstop_s = " + number(it.limits.stop_s) +
           "\nretry_ratio = " + number(it.limits.retry_ratio) +
           "\nretry_slack = " + number(it.limits.retry_slack) +
           "\nquarantine_s = " + number(it.limits.quarantine_s) +
           "\nretry_window_s = " + number(it.limits.retry_window_s) +
           "\nquota_window_s = " + number(it.limits.quota_window_s) +
           "\nquota_overage = " + number(it.limits.quota_overage) +
           "\nquota_slack = " + number(it.limits.quota_slack) +
           "\ncost_spread = " + number(it.limits.cost_spread) +
           "\n\n[log]\nlevel = " + it.log.level +
           "\nlines_per_second = " + number(it.log.lines_per_second) + "\n";
}

}  // namespace gullstall::mesh
