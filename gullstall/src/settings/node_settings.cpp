#include "gullstall/src/settings/node_settings.hpp"

#include <algorithm>
#include <array>

#include "gullstall/src/core/hex.hpp"
#include "gullstall/src/settings/section_reader.hpp"
#include "gullstall/src/wire/codec.hpp"

namespace gullstall {

namespace {

constexpr std::size_t public_key_bytes = 32;
constexpr std::uint64_t max_port = 65535;

/// A body travels in one frame with the rest of its call: a body limit above
/// the frame's would let a caller's body break the connection between two nodes.
constexpr std::uint64_t frame_headroom = 1U << 20U;
constexpr std::uint64_t max_body_limit = max_frame_bytes - frame_headroom;

constexpr std::array<std::string_view, 7> sections{"node",       "listen", "worker", "platform",
                                                   "membership", "trust",  "log"};

constexpr std::array node_rules{field_rule{"instance", true}, field_rule{"zone", true},
                                field_rule{"region", false}, field_rule{"service", true}};
constexpr std::array listen_rules{field_rule{"address", true},
                                  field_rule{"callers_port", true, 1, max_port},
                                  field_rule{"peers_port", true, 1, max_port},
                                  field_rule{"admin_port", true, 1, max_port},
                                  field_rule{"body_limit_bytes", false, 1024, max_body_limit},
                                  field_rule{"connection_limit", false, 1, 50000},
                                  field_rule{"header_limit_bytes", false, 1024, 1048576},
                                  field_rule{"read_timeout_ms", false, 10, 600000}};
constexpr std::array worker_rules{
    field_rule{"address", true}, field_rule{"port", true, 1, max_port},
    field_rule{"slots", true, 1, 100000}, field_rule{"connections", true, 1, 100000}};
constexpr std::array platform_rules{field_rule{"address", true},
                                    field_rule{"port", true, 1, max_port},
                                    field_rule{"timeout_ms", false, 10, 60000}};
constexpr std::array membership_rules{field_rule{"seeds", false},
                                      field_rule{"gossip_interval_ms", false, 50, 60000},
                                      field_rule{"lease_ms", false, 1000, 600000}};
constexpr std::array trust_rules{field_rule{"keys", true},
                                 field_rule{"signers_required", false, 1, 8}};
constexpr std::array log_rules{field_rule{"level", false}};

result<done> check_address(const ini_document &document, const std::string &section,
                           const std::string &address)
{
    if (is_address(address)) {
        return done{};
    }
    return at_key(document, section, "address",
                  error{error_code::wrong_type, "found '" + address + "', expected an IP number"});
}

result<done> check_level(const ini_document &document, const std::string &level)
{
    constexpr std::array<std::string_view, 6> known{"trace", "debug", "info",
                                                    "warn",  "error", "off"};
    if (level.empty() || std::find(known.begin(), known.end(), level) != known.end()) {
        return done{};
    }
    return at_key(document, "log", "level",
                  error{error_code::out_of_range,
                        "found '" + level + "', allowed are trace, debug, info, warn, error, off"});
}

/// Checks what goes beyond types and ranges.
result<done> check_values(const ini_document &document, const node_settings &it)
{
    for (const result<done> &checked : {check_address(document, "listen", it.listen.address),
                                        check_address(document, "worker", it.worker.address),
                                        check_address(document, "platform", it.platform.address),
                                        check_level(document, it.log.level)}) {
        if (!succeeded(checked)) {
            return checked;
        }
    }
    return done{};
}

}  // namespace

result<std::vector<trusted_key>> parse_trusted_keys(std::string_view text)
{
    std::vector<trusted_key> out;
    for (const std::string &it : split_list(text)) {
        std::size_t equals = it.find('=');
        if (equals == std::string::npos || equals == 0) {
            return error{error_code::wrong_type, "found '" + it + "', expected name=hex key"};
        }
        result<std::string> key = from_hex(it.substr(equals + 1));
        if (!succeeded(key) || value_of(key).size() != public_key_bytes) {
            return error{error_code::wrong_type,
                         "found '" + it + "', expected a key of 64 hexadecimal digits"};
        }
        out.push_back(trusted_key{it.substr(0, equals), value_of(key)});
    }
    return out;
}

result<node_settings> parse_settings(const std::string &name, std::string_view text)
{
    result<ini_document> parsed = parse_ini(name, text);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    const ini_document &document = value_of(parsed);
    node_settings out;
    settings::trust_section_values &trust = out.trust;
    const std::array<result<done>, 8> steps{
        check_sections(document, sections),
        load_section<settings::node_section>(document, "node", node_rules, out.node),
        load_section<settings::listen_section>(document, "listen", listen_rules, out.listen),
        load_section<settings::worker_section>(document, "worker", worker_rules, out.worker),
        load_section<settings::platform_section>(document, "platform", platform_rules,
                                                 out.platform),
        load_section<settings::membership_section>(document, "membership", membership_rules,
                                                   out.membership),
        load_section<settings::trust_section>(document, "trust", trust_rules, trust),
        load_section<settings::log_section>(document, "log", log_rules, out.log)};
    for (const result<done> &it : steps) {
        if (!succeeded(it)) {
            return error_of(it);
        }
    }
    result<done> checked = check_values(document, out);
    if (!succeeded(checked)) {
        return error_of(checked);
    }
    result<std::vector<endpoint>> seeds = parse_endpoints(out.membership.seeds);
    if (!succeeded(seeds)) {
        return at_key(document, "membership", "seeds", error_of(seeds));
    }
    out.seeds = value_of(std::move(seeds));
    result<std::vector<trusted_key>> keys = parse_trusted_keys(trust.keys);
    if (!succeeded(keys)) {
        return at_key(document, "trust", "keys", error_of(keys));
    }
    out.trusted_keys = value_of(std::move(keys));
    return out;
}

std::string print_settings(const node_settings &it)
{
    auto number = [](auto n) { return std::to_string(n); };
    std::string keys;
    for (const trusted_key &key : it.trusted_keys) {
        keys += (keys.empty() ? "" : ", ") + key.name + "=" + to_hex(key.public_key);
    }
    return "[node]\ninstance = " + it.node.instance + "\nzone = " + it.node.zone +
           "\nregion = " + it.node.region + "\nservice = " + it.node.service +
           "\n\n[listen]\naddress = " + it.listen.address +
           "\ncallers_port = " + number(it.listen.callers_port) +
           "\npeers_port = " + number(it.listen.peers_port) +
           "\nadmin_port = " + number(it.listen.admin_port) +
           "\nbody_limit_bytes = " + number(it.listen.body_limit_bytes) +
           "\nconnection_limit = " + number(it.listen.connection_limit) +
           "\nheader_limit_bytes = " + number(it.listen.header_limit_bytes) +
           "\nread_timeout_ms = " + number(it.listen.read_timeout_ms) +
           "\n\n[worker]\naddress = " + it.worker.address + "\nport = " + number(it.worker.port) +
           "\nslots = " + number(it.worker.slots) +
           "\nconnections = " + number(it.worker.connections) +
           "\n\n[platform]\naddress = " + it.platform.address +
           "\nport = " + number(it.platform.port) +
           "\ntimeout_ms = " + number(it.platform.timeout_ms) +
           "\n\n[membership]\nseeds = " + it.membership.seeds +
           "\ngossip_interval_ms = " + number(it.membership.gossip_interval_ms) +
           "\nlease_ms = " + number(it.membership.lease_ms) + "\n\n[trust]\nkeys = " + keys +
           "\nsigners_required = " + number(it.trust.signers_required) +
           "\n\n[log]\nlevel = " + it.log.level + "\n";
}

}  // namespace gullstall
