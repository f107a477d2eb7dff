#include "programs/fleet_commands.hpp"

#include <algorithm>
#include <iostream>
#include <memory>

#include "gullstall/timeline.hpp"
#include "programs/fleet_status.hpp"
#include "programs/operator_client.hpp"

namespace gullstall::programs {

namespace {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;

int fail(int code, const std::string &message)
{
    std::cerr << "gullstall: " << message << "\n";
    return code;
}

int run_page(const std::string &admin, const std::string &target)
{
    result<endpoint> at = parse_endpoint(admin);
    if (!succeeded(at)) {
        return fail(exit_bad_input, error_of(at).message);
    }
    result<std::string> page = fetch_page(value_of(at), target);
    if (!succeeded(page)) {
        return fail(exit_failed, error_of(page).message);
    }
    std::cout << value_of(page);
    return exit_done;
}

struct options
{
    std::string admin;
    std::vector<std::string> admins;
    std::vector<std::string> seeds;
    event_filter filter;
    bool diagram = false;
    bool json = false;
};

/// \returns the admin ports that the options name, and those of all members
/// that the seeds know
result<std::vector<endpoint>> find_admins(const options &opt)
{
    std::vector<endpoint> out;
    for (const std::string &it : opt.admins) {
        result<endpoint> at = parse_endpoint(it);
        if (!succeeded(at)) {
            return error_of(at);
        }
        out.push_back(value_of(at));
    }
    std::vector<endpoint> seeds;
    for (const std::string &it : opt.seeds) {
        result<endpoint> at = parse_endpoint(it);
        if (!succeeded(at)) {
            return error_of(at);
        }
        seeds.push_back(value_of(at));
    }
    if (!seeds.empty()) {
        for (const node_bundle &it : ask_fleet(seeds).nodes) {
            if (std::find(out.begin(), out.end(), it.admin) == out.end()) {
                out.push_back(it.admin);
            }
        }
    }
    if (out.empty()) {
        return error{error_code::missing, "no node: name one by --admin or --seed"};
    }
    return out;
}

struct gathered
{
    std::vector<fleet_event> events;
    int missing = 0;  ///< nodes that gave none
};

/// Merges the events of several nodes by their hybrid logical clocks. A node
/// that gives none is named on the error stream.
gathered gather_events(const std::vector<endpoint> &admins)
{
    gathered out;
    for (const endpoint &at : admins) {
        result<std::string> page = fetch_page(at, "/timeline");
        result<std::vector<fleet_event>> read =
            succeeded(page) ? parse_events(value_of(page)) : error_of(page);
        if (!succeeded(read)) {
            ++out.missing;
            std::cerr << "gullstall: " << error_of(read).message << "\n";
            continue;
        }
        out.events.insert(out.events.end(), value_of(read).begin(), value_of(read).end());
    }
    order_events(out.events);
    return out;
}

int run_timeline(const options &opt)
{
    result<std::vector<endpoint>> admins = find_admins(opt);
    if (!succeeded(admins)) {
        return fail(exit_bad_input, error_of(admins).message);
    }
    if (opt.diagram && opt.filter.request.empty()) {
        return fail(exit_bad_input, "--diagram draws one request: name it by --request");
    }
    gathered found = gather_events(value_of(admins));
    std::vector<fleet_event> events = select_events(found.events, opt.filter);
    std::cout << (opt.diagram ? draw_events(events) : print_events(events));
    return found.missing == 0 ? exit_done : exit_failed;
}

int run_explain(const options &opt)
{
    result<std::vector<endpoint>> admins = find_admins(opt);
    if (!succeeded(admins)) {
        return fail(exit_bad_input, error_of(admins).message);
    }
    gathered found = gather_events(value_of(admins));
    std::string text = explain_refusals(found.events, opt.filter.request);
    if (text.empty()) {
        return fail(exit_failed, "no node remembers a refusal of '" + opt.filter.request + "'");
    }
    std::cout << text;
    return found.missing == 0 ? exit_done : exit_failed;
}

int run_members(const options &opt)
{
    if (opt.json) {
        return run_page(opt.admin, "/members");
    }
    result<endpoint> at = parse_endpoint(opt.admin);
    if (!succeeded(at)) {
        return fail(exit_bad_input, error_of(at).message);
    }
    result<std::string> page = fetch_page(value_of(at), "/members");
    if (!succeeded(page)) {
        return fail(exit_failed, error_of(page).message);
    }
    std::cout << print_member_table(value_of(page));
    return exit_done;
}

void add_node_options(CLI::App &command, options &opt)
{
    command.add_option("--admin", opt.admins, "address:port of an admin port, may be repeated");
    command.add_option("--seed", opt.seeds,
                       "address:port of an admin port whose members are all asked");
}

}  // namespace

void add_fleet_commands(CLI::App &app, int &exit_code)
{
    auto opt = std::make_shared<options>();
    for (const char *name : {"status", "drain"}) {
        CLI::App *page = app.add_subcommand(name, std::string("ask a node for its ") + name);
        page->add_option("--admin", opt->admin, "address:port of the node's admin port")
            ->required();
        std::string target = std::string("/") + name;
        page->callback([opt, target, &exit_code] { exit_code = run_page(opt->admin, target); });
    }
    CLI::App *members = app.add_subcommand("members", "the members that a node knows");
    members->add_option("--admin", opt->admin, "address:port of the node's admin port")->required();
    members->add_flag("--json", opt->json, "print JSON");
    members->callback([opt, &exit_code] { exit_code = run_members(*opt); });

    CLI::App *line = app.add_subcommand("timeline", "merge the events of several nodes");
    add_node_options(*line, *opt);
    line->add_option("--request", opt->filter.request, "only the events of this request");
    line->add_option("--bundle", opt->filter.bundle, "only the events of this bundle version");
    line->add_option("--instance", opt->filter.instance, "only the events of this instance");
    line->add_option("--zone", opt->filter.zone, "only the events of this availability zone");
    line->add_flag("--diagram", opt->diagram, "draw one request");
    line->callback([opt, &exit_code] { exit_code = run_timeline(*opt); });

    CLI::App *explain = app.add_subcommand("explain", "why a request was refused");
    explain->add_option("request", opt->filter.request, "id of the request")->required();
    add_node_options(*explain, *opt);
    explain->callback([opt, &exit_code] { exit_code = run_explain(*opt); });
}

}  // namespace gullstall::programs
