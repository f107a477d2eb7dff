#include "programs/fleet_commands.hpp"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <memory>

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

struct dated_line
{
    std::uint64_t clock;
    std::string text;
};

/// Merges the events of several nodes by their hybrid logical clocks.
int run_timeline(const std::vector<std::string> &admins, const std::string &request)
{
    std::vector<dated_line> lines;
    int missing = 0;
    for (const std::string &admin : admins) {
        result<endpoint> at = parse_endpoint(admin);
        if (!succeeded(at)) {
            return fail(exit_bad_input, error_of(at).message);
        }
        result<std::string> page = fetch_page(value_of(at), "/timeline");
        if (!succeeded(page)) {
            ++missing;
            std::cerr << "gullstall: " << error_of(page).message << "\n";
            continue;
        }
        std::vector<std::string> split;
        boost::algorithm::split(split, value_of(page), boost::algorithm::is_any_of("\n"));
        for (const std::string &it : split) {
            if (it.empty()) {
                continue;
            }
            boost::json::value event = boost::json::parse(it);
            if (request.empty() || event.at("request").as_string() == request) {
                lines.push_back({event.at("clock").to_number<std::uint64_t>(), it});
            }
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const dated_line &a, const dated_line &b) { return a.clock < b.clock; });
    for (const dated_line &it : lines) {
        std::cout << it.text << "\n";
    }
    return missing == 0 ? exit_done : exit_failed;
}

struct options
{
    std::string admin;
    std::vector<std::string> admins;
    std::string request;
};

}  // namespace

void add_fleet_commands(CLI::App &app, int &exit_code)
{
    auto opt = std::make_shared<options>();
    for (const char *name : {"members", "status", "drain"}) {
        CLI::App *page = app.add_subcommand(name, std::string("ask a node for its ") + name);
        page->add_option("--admin", opt->admin, "address:port of the node's admin port")
            ->required();
        std::string target = std::string("/") + name;
        page->callback([opt, target, &exit_code] { exit_code = run_page(opt->admin, target); });
    }
    CLI::App *line = app.add_subcommand("timeline", "merge the events of several nodes");
    line->add_option("--admin", opt->admins, "address:port of an admin port, may be repeated")
        ->required();
    line->add_option("--request", opt->request, "only the events of this request");
    line->callback([opt, &exit_code] { exit_code = run_timeline(opt->admins, opt->request); });
}

}  // namespace gullstall::programs
