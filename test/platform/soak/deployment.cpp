#include "test/platform/soak/deployment.hpp"

#include <signal.h>
#include <sys/wait.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <filesystem>
#include <iostream>

#include "gullstall/src/edge/clock.hpp"

namespace gullstall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr duration stop_time = seconds(6);
constexpr duration poll_interval = milliseconds(20);
constexpr duration rest_time = seconds(6);

struct service_size
{
    const char *name;
    std::size_t instances;
};

constexpr std::array<service_size, 4> services{
    {{"bulletin-desk", 5}, {"course-office", 4}, {"gazette-press", 3}, {"notice-board", 3}}};

constexpr std::array<const char *, 3> zones{"ankara-a", "ankara-b", "kirikkale-c"};

enum class disruption
{
    restart,       ///< SIGTERM to nodes, and their next process
    replace,       ///< the upstream leaves, then its node
    reload,        ///< changed settings and SIGHUP
    changed_file,  ///< changed settings without a signal
    pause,         ///< SIGSTOP and SIGCONT, where the settings allow it; else as policy
    policy         ///< a change of the configuration
};

/// Each with as many entries as its share of ten.
constexpr std::array<disruption, 10> draws{
    disruption::restart, disruption::restart, disruption::restart, disruption::restart,
    disruption::replace, disruption::replace, disruption::reload,  disruption::changed_file,
    disruption::pause,   disruption::policy};

json::object entry(const char *kind, const std::string &name, json::object spec)
{
    return json::object{{"resource-kind", kind},
                        {"metadata", json::object{{"name", name}}},
                        {"spec", std::move(spec)}};
}

json::object route(const std::string &name, const std::string &service, const char *kind,
                   std::uint64_t timeout_ms, int priority)
{
    return entry("routes", name,
                 json::object{{"host", "calls.example"},
                              {"prefix", "/" + name + "/"},
                              {"service", service},
                              {"kind", kind},
                              {"max-attempts", 2},
                              {"timeout-ms", timeout_ms},
                              {"target-latency-ms", 1200},
                              {"priority", priority}});
}

/// \param draw what changes from one version to the next
std::string print_policy(std::uint64_t version, std::uint64_t draw)
{
    json::array list;
    constexpr std::uint64_t timeout_ms = 4500;
    std::uint64_t timeout = timeout_ms + draw % 3 * 200;
    list.push_back(route("read", "bulletin-desk", "safe", timeout, 2));
    list.push_back(
        route("register", draw % 4 == 0 ? "bulletin-desk" : "course-office", "unsafe", timeout, 0));
    list.push_back(route("gazette", "gazette-press", "download", timeout, 2));
    list.push_back(route("notice", "notice-board", "unsafe", timeout, 1));
    list.push_back(route("lookup", "course-office", "safe", timeout, 1));
    for (std::uint64_t i = 0; i < draw % 5; ++i) {
        list.push_back(route("extra" + std::to_string(i), "notice-board", "safe", timeout, 3));
    }
    for (const service_size &it : services) {
        list.push_back(entry("services", it.name,
                             json::object{{"health-path", "/health"}, {"max-connections", 800}}));
    }
    list.push_back(entry("limits", "limits",
                         json::object{{"max-header-bytes", 16384},
                                      {"max-body-bytes", 4194304},
                                      {"header-timeout-ms", 5000},
                                      {"idle-timeout-ms", draw % 2 == 0 ? 8000 : 6500}}));
    return json::serialize(
        json::object{{"version", "r" + std::to_string(version)}, {"resource-list", list}});
}

}  // namespace

struct deployment::instance
{
    instance_address address;
    std::string settings_file;
    std::string log_file;
    int pid = 0;  ///< of the node, 0 while it does not run
    std::uintmax_t log_bytes_at_start = 0;
    std::unique_ptr<http_upstream> upstream;
    bool stopping = false;  ///< its node is about to stop, stops or has stopped
};

deployment::deployment(asio::io_context &io, soak_settings settings)
    : io_(io), settings_(std::move(settings)), random_(settings_.seed)
{
    std::string net = "127." + std::to_string(settings_.subnet) + ".0.";
    store_address_ = net + "200";
    store_ = std::make_unique<http_store>(
        io_, instance_address{"", "", "", store_address_}.at(port::store));
    change_policy();
    std::size_t n = 0;
    for (const service_size &service : services) {
        for (std::size_t i = 0; i < service.instances; ++i, ++n) {
            auto it = std::make_unique<instance>();
            it->address = {std::string(service.name) + "-" + std::to_string(i),
                           zones.at(n % zones.size()), service.name, net + std::to_string(n + 1)};
            it->settings_file = settings_.folder + "/" + it->address.name + ".ini";
            it->log_file = settings_.folder + "/" + it->address.name + ".log";
            client_settings at{n, it->address.at(port::callers)};
            it->upstream = std::make_unique<http_upstream>(
                io_, it->address, record_.runs,
                [this, at](const std::string &run) -> asio::awaitable<bool> {
                    return send_once(io_, at, run + "-c" + std::to_string(++nested_calls_),
                                     work_order{milliseconds(10), 300, false}.print("/lookup/"),
                                     record_.requests);
                });
            instances_.push_back(std::move(it));
        }
    }
}

deployment::~deployment()
{
    for (const auto &it : instances_) {
        if (it->pid > 0) {
            ::kill(it->pid, SIGKILL);
            ::waitpid(it->pid, nullptr, 0);
        }
    }
}

void deployment::spawn(asio::awaitable<void> work)
{
    ++open_work_;
    asio::co_spawn(io_, std::move(work), [this](const std::exception_ptr &error) {
        --open_work_;
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

asio::awaitable<void> deployment::run()
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        start_node(i);
        instances_[i]->upstream->start();
    }
    if (!co_await wait_ready()) {
        record_.unexpected_ends.emplace_back("the nodes did not become ready");
        co_return;
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        start_clients(i);
    }
    co_await disrupt();
    while (open_work_ > 0) {
        co_await sleep_for(io_, poll_interval);
    }
    co_await stop_clients();
    collect_ended();
}

void deployment::start_node(std::size_t i)
{
    instance &it = *instances_[i];
    constexpr int retry_slack = 48;
    write_settings(it.address, store_address_, it.settings_file, retry_slack);
    std::error_code ec;
    std::uintmax_t log_bytes = std::filesystem::file_size(it.log_file, ec);
    it.log_bytes_at_start = ec ? 0 : log_bytes;
    it.pid = start_process(settings_.program, it.settings_file, it.log_file);
    it.stopping = false;
}

/// \returns whether the program runs: a signal ends a process that is still being loaded
bool deployment::has_begun(std::size_t i) const
{
    const instance &it = *instances_[i];
    std::error_code ec;
    std::uintmax_t log_bytes = std::filesystem::file_size(it.log_file, ec);
    return !ec && log_bytes > it.log_bytes_at_start;
}

void deployment::start_clients(std::size_t i)
{
    for (std::size_t n = 0; n < settings_.clients; ++n) {
        client_settings from{i, instances_[i]->address.at(port::callers)};
        constexpr std::size_t kinds = 4;
        from.mean_pause = n % kinds == 0 ? milliseconds(2500) : milliseconds(250);
        from.pipeline = n % kinds == 1 ? 4 : 1;
        from.longest_run = settings_.longest_run;
        from.seed = settings_.seed * 1000003 + i * 1009 + n;
        clients_.push_back(std::make_unique<kept_client>(io_, from, record_.requests));
        asio::co_spawn(io_, clients_.back()->run(), asio::detached);
    }
}

asio::awaitable<bool> deployment::wait_ready()
{
    constexpr int tries = 150;
    constexpr duration interval = milliseconds(100);
    constexpr unsigned ok = 200;
    for (int i = 0; i < tries; ++i) {
        bool all = true;
        for (const auto &it : instances_) {
            all = all && co_await exchange(io_, it->address.at(port::readiness),
                                           http_request{http::verb::get, "/v1/ready", 11},
                                           seconds(1)) == ok;
        }
        if (all) {
            co_return true;
        }
        co_await sleep_for(io_, interval);
    }
    co_return false;
}

asio::awaitable<void> deployment::disrupt()
{
    time_point end = edge::now() + settings_.length;
    while (edge::now() < end) {
        duration gap =
            from_seconds(-std::log(1 - draw_fraction(random_)) * to_seconds(settings_.mean_gap));
        co_await sleep_for(io_, gap);
        collect_ended();
        co_await disrupt_once();
    }
}

asio::awaitable<void> deployment::disrupt_once()
{
    constexpr double several_share = 0.15;
    std::size_t i = draw_below(random_, instances_.size());
    switch (draws.at(draw_below(random_, draws.size()))) {
        case disruption::restart:
            if (draw_fraction(random_) < several_share) {
                restart_several();
            } else {
                spawn(restart_node(i));
            }
            break;
        case disruption::replace:
            spawn(replace_instance(i));
            break;
        case disruption::reload:
            reload(i, true);
            break;
        case disruption::changed_file:
            reload(i, false);
            break;
        case disruption::pause:
            if (settings_.pauses) {
                spawn(pause_node(i));
            } else {
                change_policy();
            }
            break;
        case disruption::policy:
            change_policy();
            break;
    }
    co_return;
}

/// Restarts all nodes, or those of a zone or of a service, at once.
void deployment::restart_several()
{
    enum scope
    {
        all,
        one_zone,
        one_service,
        scopes
    };
    std::uint64_t chosen = draw_below(random_, scopes);
    std::string zone = zones.at(draw_below(random_, zones.size()));
    std::string service = services.at(draw_below(random_, services.size())).name;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const instance_address &it = instances_[i]->address;
        if (chosen == all || (chosen == one_zone ? it.zone == zone : it.service == service)) {
            spawn(restart_node(i));
        }
    }
}

asio::awaitable<void> deployment::restart_node(std::size_t i)
{
    instance &it = *instances_[i];
    if (it.stopping || it.pid == 0) {
        co_return;
    }
    it.stopping = true;
    stop_record stop{i, edge::now(), {}, false, 0};
    ::kill(it.pid, SIGTERM);
    int status = 0;
    while (::waitpid(it.pid, &status, WNOHANG) == 0) {
        if (!stop.was_killed && edge::now() - stop.asked_at > stop_time) {
            stop.was_killed = true;
            ::kill(it.pid, SIGKILL);
        }
        co_await sleep_for(io_, poll_interval);
    }
    it.pid = 0;
    stop.ended_at = edge::now();
    stop.status = status;
    stop.had_begun = has_begun(i);
    record_.stops.push_back(stop);
    constexpr std::uint64_t longest_gap_ms = 400;
    co_await sleep_for(io_, milliseconds(draw_below(random_, longest_gap_ms)));
    start_node(i);
}

asio::awaitable<void> deployment::replace_instance(std::size_t i)
{
    instance &it = *instances_[i];
    if (it.stopping || it.pid == 0) {
        co_return;
    }
    it.stopping = true;
    co_await it.upstream->leave();
    it.stopping = false;
    co_await restart_node(i);
    it.upstream->start();
}

asio::awaitable<void> deployment::pause_node(std::size_t i)
{
    instance &it = *instances_[i];
    if (it.pid == 0) {
        co_return;
    }
    int pid = it.pid;
    constexpr std::uint64_t longest_pause_ms = 600;
    ::kill(pid, SIGSTOP);
    co_await sleep_for(io_, milliseconds(draw_below(random_, longest_pause_ms)));
    if (it.pid == pid) {
        ::kill(pid, SIGCONT);
    }
}

void deployment::reload(std::size_t i, bool with_signal)
{
    instance &it = *instances_[i];
    if (it.pid == 0) {
        return;
    }
    constexpr int least_slack = 40;
    constexpr std::uint64_t slack_range = 20;
    write_settings(it.address, store_address_, it.settings_file,
                   least_slack + static_cast<int>(draw_below(random_, slack_range)));
    if (with_signal && has_begun(i)) {
        ::kill(it.pid, SIGHUP);
    }
}

void deployment::change_policy()
{
    policy_version_ += 1 + draw_below(random_, 3);
    store_->put("op", "config", print_policy(policy_version_, random_() % 1000));
}

void deployment::collect_ended()
{
    for (const auto &it : instances_) {
        int status = 0;
        if (!it->stopping && it->pid > 0 && ::waitpid(it->pid, &status, WNOHANG) == it->pid) {
            record_.unexpected_ends.push_back("the node of " + it->address.name +
                                              " ended by itself, status " + std::to_string(status));
            it->pid = 0;
        }
    }
}

asio::awaitable<void> deployment::stop_clients()
{
    for (const auto &it : clients_) {
        it->stop();
    }
    co_await sleep_for(io_, rest_time);
}

}  // namespace gullstall::standin
