#include "programs/fleet_status.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>
#include <map>

#include "programs/operator_client.hpp"

namespace gullstall::programs {

namespace json = boost::json;

namespace {

std::string text_at(const json::object &it, const char *key)
{
    const json::value *found = it.if_contains(key);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

/// \returns the page as JSON, null when it cannot be had
json::value fetch_json(const endpoint &from, const std::string &target)
{
    result<std::string> page = fetch_page(from, target);
    boost::system::error_code ec;
    return succeeded(page) ? json::parse(value_of(page), ec) : json::value();
}

void add_members(std::map<std::string, node_bundle> &nodes, const endpoint &seed)
{
    json::value page = fetch_json(seed, "/members");
    if (!page.is_array()) {
        return;
    }
    for (const json::value &it : page.as_array()) {
        const json::object &known = it.as_object();
        if (text_at(known, "state") == "dead" || known.if_contains("admin_port") == nullptr) {
            continue;
        }
        node_bundle node;
        node.instance = text_at(known, "instance");
        node.zone = text_at(known, "zone");
        node.admin =
            endpoint{text_at(known, "address"), known.at("admin_port").to_number<std::uint16_t>()};
        nodes.emplace(node.instance, node);
    }
}

void ask_node(node_bundle &it)
{
    json::value page = fetch_json(it.admin, "/status");
    if (!page.is_object()) {
        return;
    }
    const json::object &status = page.as_object();
    it.reached = true;
    it.version = status.at("bundle_version").to_number<std::uint64_t>();
    it.since_us = status.at("since_us").to_number<std::int64_t>();
    it.digest = text_at(status, "digest");
    it.author = text_at(status, "author");
    it.reference = text_at(status, "reference");
    if (const json::value *signers = status.if_contains("signers")) {
        for (const json::value &name : signers->as_array()) {
            it.signers.emplace_back(name.as_string().c_str());
        }
    }
}

std::string print_time(std::int64_t us)
{
    constexpr std::int64_t us_per_second = 1000000;
    std::time_t seconds = us / us_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[sizeof "2000-01-01T00:00:00Z"];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

std::string join(const std::vector<std::string> &names)
{
    std::string out;
    for (const std::string &it : names) {
        out += (out.empty() ? "" : ",") + it;
    }
    return out;
}

const char *state_of(const fleet_status &fleet, const node_bundle &it)
{
    if (!it.reached) {
        return "out of reach";
    }
    return it.version < fleet.highest ? "behind" : "in force";
}

}  // namespace

bool fleet_status::is_whole() const
{
    return std::all_of(nodes.begin(), nodes.end(), [this](const node_bundle &it) {
        return it.reached && it.version == highest && highest > 0;
    });
}

fleet_status ask_fleet(const std::vector<endpoint> &seeds)
{
    std::map<std::string, node_bundle> found;
    for (const endpoint &it : seeds) {
        add_members(found, it);
    }
    fleet_status out;
    for (auto &[instance, it] : found) {
        ask_node(it);
        out.highest = std::max(out.highest, it.version);
        out.nodes.push_back(it);
    }
    return out;
}

std::string print_fleet(const fleet_status &fleet)
{
    std::string out;
    std::size_t behind = 0;
    std::size_t lost = 0;
    for (const node_bundle &it : fleet.nodes) {
        behind += it.reached && it.version < fleet.highest ? 1 : 0;
        lost += it.reached ? 0 : 1;
        out += it.instance + " (" + it.zone + "): " + state_of(fleet, it);
        if (it.reached && it.version > 0) {
            out += ", version " + std::to_string(it.version) + " since " + print_time(it.since_us) +
                   ", signed by " + join(it.signers) + ", author " + it.author + ", reference " +
                   it.reference;
        }
        out += "\n";
    }
    return out + "highest version " + std::to_string(fleet.highest) + ", " +
           std::to_string(fleet.nodes.size()) + " nodes, " + std::to_string(behind) + " behind, " +
           std::to_string(lost) + " out of reach\n";
}

std::string print_fleet_json(const fleet_status &fleet)
{
    json::array nodes;
    for (const node_bundle &it : fleet.nodes) {
        nodes.push_back(json::object{{"instance", it.instance},
                                     {"zone", it.zone},
                                     {"state", state_of(fleet, it)},
                                     {"version", it.version},
                                     {"since_us", it.since_us},
                                     {"digest", it.digest},
                                     {"signers", json::value_from(it.signers)},
                                     {"author", it.author},
                                     {"reference", it.reference}});
    }
    json::object out{{"highest", fleet.highest}, {"whole", fleet.is_whole()}, {"nodes", nodes}};
    return json::serialize(out) + "\n";
}

}  // namespace gullstall::programs
