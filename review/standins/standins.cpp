#include "standins.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/src.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

namespace review {

namespace {

namespace beast = boost::beast;
using boost::system::error_code;

const auto started = std::chrono::steady_clock::now();

std::mutex record_mutex;
std::ofstream record;

std::vector<int> processes;
std::string folder;

const std::string &temporary_folder()
{
    if (folder.empty()) {
        std::string name =
            (std::filesystem::temp_directory_path() / "gullstall-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            std::cerr << "no temporary folder\n";
            std::_Exit(2);
        }
        folder = name;
    }
    return folder;
}

std::string to_base64(const std::string &text)
{
    std::string out(beast::detail::base64::encoded_size(text.size()), '\0');
    out.resize(beast::detail::base64::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string unescape(const std::string &text)
{
    std::string out;
    constexpr std::size_t code_length = 3;
    constexpr int hex = 16;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + code_length <= text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hex));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string &target)
{
    std::map<std::string, std::string> out;
    std::size_t mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        std::size_t equals = part.find('=');
        if (equals != std::string::npos) {
            out[part.substr(0, equals)] = unescape(part.substr(equals + 1));
        }
    }
    return out;
}

void serve_connection(tcp::socket socket, const request_handler &handler)
{
    beast::flat_buffer buf;
    error_code ec;
    while (!ec) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(64U << 20U);
        http::read(socket, buf, parser, ec);
        if (ec) {
            return;
        }
        http_response response = handler(parser.get());
        response.keep_alive(parser.keep_alive());
        response.prepare_payload();
        http::write(socket, response, ec);
        if (!response.keep_alive()) {
            return;
        }
    }
}

void write_settings(const machine &it, std::uint16_t store_port, const std::string &file)
{
    std::string at = std::string(loopback) + ":";
    std::ofstream out(file);
    out << "[node]\nname = " << it.name << "\nzone = " << it.zone << "\nservice = " << it.service
        << "\nmemory_mb = 260\n\n[listen]\ncallers = " << at << it.callers << "\npeers = " << at
        << it.peers << "\nreadiness = " << at << it.ready << "\ncontrol = " << at << it.control
        << "\nmetrics = " << at << it.metrics << "\n\n[upstream]\nendpoint = " << at << it.app
        << "\nheartbeat_interval_ms = 1500\n\n[store]\nendpoint = " << at << store_port
        << "\n\n[limits]\nstop_s = 6\nretry_ratio = 0.2\nretry_slack = 49\nretry_window_s = 10\n"
        << "quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\n";
}

}  // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started)
        .count();
}

std::uint64_t unix_ms()
{
    auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

bool with_trouble()
{
    const char *it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

void open_record(const std::string &file)
{
    record.open(file);
    note(std::string("started with TROUBLE=") + (with_trouble() ? "1" : "0"));
}

void trace(const std::string &line)
{
    std::lock_guard lock(record_mutex);
    record << now_ms() << " ms " << line << "\n" << std::flush;
}

void note(const std::string &line)
{
    trace(line);
    std::lock_guard lock(record_mutex);
    std::cout << now_ms() << " ms " << line << "\n" << std::flush;
}

std::uint16_t free_port()
{
    constexpr int first = 20000;
    constexpr int last = 31000;
    static std::mt19937 random{std::random_device{}()};
    static std::vector<std::uint16_t> used;
    std::uniform_int_distribution<int> draw(first, last);
    while (true) {
        auto port = static_cast<std::uint16_t>(draw(random));
        bool is_new = std::find(used.begin(), used.end(), port) == used.end();
        asio::io_context io;
        tcp::acceptor acceptor(io);
        error_code ec;
        acceptor.open(tcp::v4(), ec);
        acceptor.bind({asio::ip::make_address(loopback), port}, ec);
        if (is_new && !ec) {
            used.push_back(port);
            return port;
        }
    }
}

void serve_http(std::uint16_t port, request_handler handler)
{
    auto io = std::make_shared<asio::io_context>();
    auto acceptor =
        std::make_shared<tcp::acceptor>(*io, tcp::endpoint(asio::ip::make_address(loopback), port));
    std::thread([io, acceptor, handler = std::move(handler)] {
        while (true) {
            error_code ec;
            tcp::socket socket = acceptor->accept(ec);
            if (ec) {
                sleep_ms(1);
                continue;
            }
            socket.set_option(tcp::no_delay(true), ec);
            std::thread([it = std::move(socket), handler]() mutable {
                serve_connection(std::move(it), handler);
            }).detach();
        }
    }).detach();
}

http_response answer(http::status status, std::string body)
{
    http_response out{status, 11};
    out.set(http::field::content_type, "application/json");
    out.body() = std::move(body);
    return out;
}

std::optional<http_response> exchange(std::uint16_t port, http_request request,
                                      std::int64_t timeout_ms)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    std::optional<http_response> out;
    request.prepare_payload();
    stream.expires_after(milliseconds(timeout_ms));
    beast::flat_buffer buf;
    http_response response;
    stream.async_connect(
        tcp::endpoint(asio::ip::make_address(loopback), port), [&](const error_code &failed) {
            if (failed) {
                return;
            }
            http::async_write(stream, request, [&](const error_code &ec, std::size_t) {
                if (ec) {
                    return;
                }
                http::async_read(stream, buf, response, [&](const error_code &end, std::size_t) {
                    if (!end) {
                        out = std::move(response);
                    }
                });
            });
        });
    io.run();
    return out;
}

store::store(std::uint16_t port)
{
    serve_http(port, [this](const http_request &request) { return on_request(request); });
}

void store::put(const std::string &table, const std::string &key, const std::string &value)
{
    std::lock_guard lock(mutex_);
    rows_[{table, key}] = row{table, key, to_base64(value), ++version_};
    changed_.notify_all();
}

json::object store::envelope(const json::array &rows) const
{
    return json::object{
        {"rows", rows}, {"ver", version_}, {"now-ms", now_ms() + 1}, {"has-more", false}};
}

http_response store::get_rows(const std::map<std::string, std::string> &query)
{
    std::lock_guard lock(mutex_);
    json::array rows;
    auto from = query.find("from");
    std::string first = from == query.end() ? "" : from->second;
    for (const auto &[name, it] : rows_) {
        if (it.table == query.at("table") && it.key >= first) {
            rows.push_back(json::object{{"table", it.table},
                                        {"part", ""},
                                        {"key", it.key},
                                        {"value", it.value},
                                        {"ver", it.version}});
        }
    }
    return answer(http::status::ok, json::serialize(envelope(rows)));
}

http_response store::feed_rows(const std::map<std::string, std::string> &query)
{
    std::unique_lock lock(mutex_);
    std::uint64_t after = std::stoull(query.at("after"));
    json::array rows;
    auto has_news = [&] {
        for (const auto &[name, it] : rows_) {
            if (it.table == query.at("table") && it.version > after) {
                rows.push_back(json::object{{"table", it.table},
                                            {"part", ""},
                                            {"key", it.key},
                                            {"value", it.value},
                                            {"ver", it.version}});
            }
        }
        return !rows.empty();
    };
    changed_.wait_for(lock, milliseconds(std::stol(query.at("wait-ms"))), has_news);
    return answer(http::status::ok, json::serialize(envelope(rows)));
}

http_response store::change_rows(const std::string &body)
{
    std::lock_guard lock(mutex_);
    json::object asked = json::parse(body).as_object();
    json::array differing;
    for (const json::value &each : asked.at("expected-rev").as_array()) {
        const json::object &it = each.as_object();
        std::pair name{std::string(it.at("table").as_string()),
                       std::string(it.at("key").as_string())};
        auto found = rows_.find(name);
        std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
        if (version != it.at("ver").to_number<std::uint64_t>() && found != rows_.end()) {
            differing.push_back(json::object{{"table", name.first},
                                             {"part", ""},
                                             {"key", name.second},
                                             {"value", found->second.value},
                                             {"ver", version}});
        }
    }
    if (!differing.empty()) {
        return answer(http::status::precondition_failed, json::serialize(envelope(differing)));
    }
    ++version_;
    for (const json::value &each : asked.at("puts").as_array()) {
        const json::object &it = each.as_object();
        std::pair name{std::string(it.at("table").as_string()),
                       std::string(it.at("key").as_string())};
        rows_[name] =
            row{name.first, name.second, std::string(it.at("value").as_string()), version_};
    }
    changed_.notify_all();
    return answer(http::status::ok, json::serialize(envelope({})));
}

http_response store::on_request(const http_request &request)
{
    std::string target(request.target());
    std::string path = target.substr(0, target.find('?'));
    if (path == "/v1/rows-get") {
        return get_rows(query_of(target));
    }
    if (path == "/v1/rows-feed") {
        return feed_rows(query_of(target));
    }
    if (path == "/v1/rows-tx") {
        return change_rows(request.body());
    }
    return answer(http::status::not_found);
}

machine make_machine(const std::string &name, const std::string &zone, const std::string &service)
{
    return machine{name,        zone,        service,     free_port(), free_port(),
                   free_port(), free_port(), free_port(), free_port(), 0};
}

void start_node(machine &it, std::uint16_t store_port)
{
    std::string file = temporary_folder() + "/" + it.name + ".ini";
    write_settings(it, store_port, file);
    std::string log = temporary_folder() + "/" + it.name + ".log";
    std::string setting = "GULLSTALL_SETTINGS=" + file;
    int pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const char *program = "target/gullstall-sidecar";
        std::vector<char *> arguments{const_cast<char *>(program), nullptr};
        std::vector<char *> environment{setting.data(), nullptr};
        ::execve(program, arguments.data(), environment.data());
        ::_exit(127);
    }
    it.pid = pid;
    processes.push_back(pid);
    note("node " + it.name + " (" + it.service + ", zone " + it.zone + ") started");
}

void kill_node(machine &it)
{
    ::kill(it.pid, SIGKILL);
    ::waitpid(it.pid, nullptr, 0);
    std::erase(processes, it.pid);
    note("node " + it.name + " killed");
}

bool is_running(const machine &it)
{
    int status = 0;
    return ::waitpid(it.pid, &status, WNOHANG) == 0;
}

std::int64_t cpu_ms(const machine &it)
{
    std::ifstream in("/proc/" + std::to_string(it.pid) + "/stat");
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 2)));
    std::vector<std::string> all;
    for (std::string field; fields >> field;) {
        all.push_back(field);
    }
    constexpr std::size_t user = 11;  // counted from the state
    constexpr std::int64_t ms_per_s = 1000;
    if (all.size() <= user + 1) {
        return 0;
    }
    return (std::stoll(all[user]) + std::stoll(all[user + 1])) * ms_per_s / ::sysconf(_SC_CLK_TCK);
}

void finish(int status)
{
    for (int pid : processes) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    const char *keep = std::getenv("KEEP_LOGS");
    if (!folder.empty() && keep == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(folder, ec);
    } else if (keep != nullptr) {
        std::cout << folder << "\n";
    }
    note("exit " + std::to_string(status));
    std::_Exit(status);
}

bool is_ready(const machine &it)
{
    auto got = exchange(it.ready, http_request{http::verb::get, "/v1/ready", 11}, 1000);
    return got && got->result() == http::status::ok;
}

void wait_ready(const std::vector<machine *> &all)
{
    constexpr int tries = 150;
    for (int i = 0; i < tries; ++i) {
        if (std::all_of(all.begin(), all.end(), [](const machine *it) { return is_ready(*it); })) {
            note("all nodes ready");
            return;
        }
        sleep_ms(100);
    }
    note("the nodes are not ready: the case could not run");
    finish(2);
}

worker::worker(machine &beside, std::string id, std::uint32_t slots, behaviour what)
    : beside_(beside), id_(std::move(id)), slots_(slots), what_(std::move(what)), born_(unix_ms())
{
    serve_http(beside.app, [this](const http_request &request) { return on_request(request); });
}

std::string worker::beat_body(const char *state, std::uint64_t sequence) const
{
    return json::serialize(
        json::object{{"service", beside_.service},
                     {"address", std::string(loopback) + ":" + std::to_string(beside_.app)},
                     {"zone", beside_.zone},
                     {"version", "v1"},
                     {"slots", slots_},
                     {"state", state},
                     {"cold-remaining-ms", 0},
                     {"seq", sequence},
                     {"born", born_}});
}

bool worker::send_beat(const std::string &body)
{
    http_request request{http::verb::put, "/v1/instances/" + id_, 11};
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    auto got = exchange(beside_.control, std::move(request), 1000);
    return got && http::to_status_class(got->result()) == http::status_class::successful;
}

bool worker::beat(const char *state)
{
    return send_beat(beat_body(state, ++sequence_));
}

bool worker::send_leave()
{
    auto got = exchange(beside_.control,
                        http_request{http::verb::delete_, "/v1/instances/" + id_, 11}, 1000);
    return got && http::to_status_class(got->result()) == http::status_class::successful;
}

void worker::start_beats()
{
    beats_ = true;
    std::thread([this] {
        constexpr std::int64_t interval = 1500;
        constexpr std::int64_t retry = 100;
        while (beats_) {
            sleep_ms(beat("ready") ? interval : retry);
        }
    }).detach();
}

void worker::stop_beats()
{
    beats_ = false;
}

http_response worker::on_request(const http_request &request)
{
    run it{std::string(request["Gullstall-Attempt-Id"]), std::string(request.target()),
           std::string(request["Gullstall-Tenant"]),
           request.find(http::field::authorization) != request.end(), request};
    if (request["Gullstall-Expect-Instance"] != id_) {
        http_response other = answer(http::status::misdirected_request);
        other.set("Gullstall-Not-Executed", "1");
        other.set("Gullstall-Attempt-Id", it.id);
        other.set("Gullstall-Instance-Id", id_);
        return other;
    }
    return what_(it);
}

http_response seal(const run &it, std::string body)
{
    http_response out = answer(http::status::ok, std::move(body));
    out.set("Gullstall-Attempt-Id", it.id);
    out.set("Gullstall-Server-Seal", "seal-" + it.id);
    return out;
}

std::string make_config(int version, const std::vector<route> &routes,
                        const std::vector<std::string> &services,
                        const std::vector<tenant> &tenants)
{
    json::array list;
    auto add = [&](const char *kind, const std::string &name, json::object spec) {
        list.push_back(json::object{{"resource-kind", kind},
                                    {"metadata", json::object{{"name", name}}},
                                    {"spec", std::move(spec)}});
    };
    for (const route &it : routes) {
        json::object spec{{"host", host},
                          {"prefix", it.prefix},
                          {"service", it.service},
                          {"kind", it.kind},
                          {"max-attempts", 2},
                          {"timeout-ms", it.timeout_ms},
                          {"target-latency-ms", 1200},
                          {"priority", 1}};
        if (it.auth_exempt) {
            spec["auth-exempt"] = true;
        }
        add("routes", it.name, std::move(spec));
    }
    for (const std::string &it : services) {
        add("services", it, json::object{{"health-path", "/health"}, {"max-connections", 800}});
    }
    for (const tenant &it : tenants) {
        add("tenants", it.name, json::object{{"api-keys", json::array{json::value(it.key)}}});
    }
    add("limits", "limits",
        json::object{{"max-header-bytes", 16384},
                     {"max-body-bytes", 4194304},
                     {"header-timeout-ms", 5000},
                     {"idle-timeout-ms", 15000}});
    return json::serialize(
        json::object{{"version", "r" + std::to_string(version)}, {"resource-list", list}});
}

http_request client_request(http::verb method, const std::string &target, const std::string &id,
                            int deadline_ms, const std::string &key)
{
    http_request out{method, target, 11};
    out.set(http::field::host, host);
    out.set("Gullstall-Attempt-Id", id);
    out.set("Gullstall-Deadline-Ms", std::to_string(deadline_ms));
    if (!key.empty()) {
        out.set(http::field::authorization, "Bearer " + key);
    }
    return out;
}

}  // namespace review
