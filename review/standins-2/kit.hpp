// Stand-ins for a small deployment of gullstall-sidecar: the platform's store, workers, clients,
// and the processes under test. Threads and blocking sockets; no dependency but Boost.JSON.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point begin_at = steady::now();

inline long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - begin_at).count();
}

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline void die(const std::string &what)
{
    std::fprintf(stderr, "case could not run: %s\n", what.c_str());
    std::_Exit(2);
}

/// record.txt: what was sent, answered and run.
class record
{
public:
    explicit record(const std::string &file) : out_(file) {}

    void line(const std::string &text)
    {
        std::lock_guard hold(lock_);
        out_ << now_ms() << " " << text << "\n";
        out_.flush();
    }

private:
    std::mutex lock_;
    std::ofstream out_;
};

// Sockets.

inline sockaddr_in address(const std::string &ip, int port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
    return it;
}

inline int listen_at(const std::string &ip, int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = address(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// A connection; -1 when it was refused or took more than \a limit_ms.
inline int connect_to(const std::string &ip, int port, int limit_ms = 1000)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{limit_ms / 1000, (limit_ms % 1000) * 1000L};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in at = address(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool send_all(int fd, const std::string &bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        ssize_t n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(n);
    }
    return true;
}

inline void reset(int fd)
{
    linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
}

/// An HTTP message; the names of its fields are in lower case.
struct message
{
    std::string first;   ///< first word of the start line
    std::string second;  ///< second word
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const
    {
        return std::atoi(second.c_str());
    }
};

/// Reads messages from a connection.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}

    /// \returns false at the end of the connection, at an error or after \a limit_ms
    bool read(message &out, long limit_ms)
    {
        steady::time_point until = steady::now() + milliseconds(limit_ms);
        out = message{};
        std::size_t end = 0;
        while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        std::istringstream head(buf_.substr(0, end + 2));
        std::string line;
        std::getline(head, line);
        std::istringstream(line) >> out.first >> out.second;
        while (std::getline(head, line) && line.size() > 1) {
            std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return false;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            std::size_t from = line.find_first_not_of(' ', colon + 1);
            std::size_t to = line.find_last_not_of("\r ");
            out.fields[name] = from > to ? "" : line.substr(from, to - from + 1);
        }
        buf_.erase(0, end + 4);
        std::size_t length = std::strtoul(out.field("content-length").c_str(), nullptr, 10);
        while (buf_.size() < length) {
            if (!fill(until)) {
                return false;
            }
        }
        out.body = buf_.substr(0, length);
        buf_.erase(0, length);
        return true;
    }

private:
    bool fill(steady::time_point until)
    {
        long left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        pollfd it{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buf_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buf_;
};

/// Accepts connections and serves each on a thread of its own.
inline void serve(int listener, const std::function<void(int)> &one)
{
    std::thread([listener, one] {
        while (true) {
            int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, one] { one(fd); }).detach();
        }
    }).detach();
}

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: tables of rows with one counter of versions.

inline std::string to_base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned n = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            n = n << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > text.size() ? '=' : digits[n >> (18 - 6 * j) & 63];
        }
    }
    return out;
}

class store
{
public:
    /// When set, a call is answered only while it returns true; else its connection is closed.
    std::function<bool(const std::string &path)> lets = [](const std::string &) { return true; };

    void listen(const std::string &ip, int port)
    {
        int fd = listen_at(ip, port);
        if (fd < 0) {
            die("no port for the store");
        }
        serve(fd, [this](int connection) {
            reader in(connection);
            message it;
            while (in.read(it, 3600000)) {
                sleep_ms(4);
                if (!lets(it.second) || !send_all(connection, answer(it)) || !lets(it.second)) {
                    break;
                }
            }
            ::close(connection);
        });
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        std::lock_guard hold(lock_);
        rows_[{table, key}] = {to_base64(value), ++version_};
        changed_.notify_all();
    }

private:
    using row_name = std::pair<std::string, std::string>;
    struct row
    {
        std::string value;
        std::uint64_t version;
    };

    static std::string decode(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }

    std::string answer(const message &it)
    {
        std::string path = it.second.substr(0, it.second.find('?'));
        std::map<std::string, std::string> asked;
        if (path.size() < it.second.size()) {
            std::istringstream in(it.second.substr(path.size() + 1));
            std::string part;
            while (std::getline(in, part, '&')) {
                std::size_t equal = part.find('=');
                asked[part.substr(0, equal)] = decode(part.substr(equal + 1));
            }
        }
        std::unique_lock hold(lock_);
        if (path == "/v1/rows-get") {
            json::array rows;
            std::size_t limit = asked.count("limit") ? std::stoul(asked["limit"]) : 500;
            bool more = false;
            for (auto row = rows_.lower_bound({asked["table"], asked["from"]});
                 row != rows_.end() && row->first.first == asked["table"]; ++row) {
                if (rows.size() == limit) {
                    more = true;
                    break;
                }
                rows.push_back(print(row->first, row->second));
            }
            return rows_answer(200, std::move(rows), more);
        }
        if (path == "/v1/rows-feed") {
            std::uint64_t after = std::stoull(asked["after"]);
            auto until = steady::now() + milliseconds(std::stol(asked["wait-ms"]));
            json::array rows = newer(asked["table"], after);
            while (rows.empty() && changed_.wait_until(hold, until) != std::cv_status::timeout) {
                rows = newer(asked["table"], after);
            }
            return rows_answer(200, std::move(rows), false);
        }
        if (path == "/v1/rows-tx") {
            json::object tx = json::parse(it.body).as_object();
            json::array differing;
            for (const json::value &each : tx["expected-rev"].as_array()) {
                row_name name = name_of(each);
                auto found = rows_.find(name);
                std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
                if (version != each.as_object().at("ver").to_number<std::uint64_t>()) {
                    differing.push_back(
                        print(name, found == rows_.end() ? row{"", 0} : found->second));
                }
            }
            if (!differing.empty()) {
                return rows_answer(412, std::move(differing), false);
            }
            ++version_;
            for (const json::value &each : tx["puts"].as_array()) {
                rows_[name_of(each)] = {std::string(each.as_object().at("value").as_string()),
                                        version_};
            }
            changed_.notify_all();
            return rows_answer(200, {}, false);
        }
        return response(404, "", "");
    }

    static row_name name_of(const json::value &each)
    {
        return {std::string(each.as_object().at("table").as_string()),
                std::string(each.as_object().at("key").as_string())};
    }

    static json::object print(const row_name &name, const row &it)
    {
        return {{"table", name.first},
                {"part", ""},
                {"key", name.second},
                {"value", it.value},
                {"ver", it.version}};
    }

    json::array newer(const std::string &table, std::uint64_t after) const
    {
        json::array out;
        for (const auto &[name, it] : rows_) {
            if (name.first == table && it.version > after) {
                out.push_back(print(name, it));
            }
        }
        return out;
    }

    std::string rows_answer(int status, json::array rows, bool more)
    {
        json::object out{{"rows", std::move(rows)},
                         {"ver", version_},
                         {"now-ms", now_ms() + 1000},
                         {"has-more", more}};
        return response(status, "Content-Type: application/json\r\n", json::serialize(out));
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::map<row_name, row> rows_;
    std::uint64_t version_ = 0;
};

// Routes.

struct route
{
    std::string name;
    std::string service;
    std::string kind;
    int timeout_ms = 4000;
    int max_attempts = 2;
};

inline std::string print_config(int version, const std::vector<route> &routes)
{
    json::array list;
    std::map<std::string, bool> services;
    auto add = [&](const char *kind, const std::string &name, json::object spec) {
        list.push_back(json::object{{"resource-kind", kind},
                                    {"metadata", json::object{{"name", name}}},
                                    {"spec", std::move(spec)}});
    };
    for (const route &it : routes) {
        services[it.service] = true;
        add("routes", it.name,
            {{"host", "calls.example"},
             {"prefix", "/" + it.name + "/"},
             {"service", it.service},
             {"kind", it.kind},
             {"max-attempts", it.max_attempts},
             {"timeout-ms", it.timeout_ms},
             {"target-latency-ms", 1200},
             {"priority", 1}});
    }
    for (const auto &[name, on] : services) {
        add("services", name, {{"health-path", "/health"}, {"max-connections", 800}});
    }
    add("limits", "limits",
        {{"max-header-bytes", 16384},
         {"max-body-bytes", 4194304},
         {"header-timeout-ms", 5000},
         {"idle-timeout-ms", 8000}});
    return json::serialize(
        json::object{{"version", "r" + std::to_string(version)}, {"resource-list", list}});
}

// Machines: a worker and its sidecar.

namespace port {
constexpr int store = 8309, callers = 8304, peers = 7620, readiness = 8302, control = 8306,
              metrics = 7635, upstream = 8301;
}

/// What a worker does with a request that it begins to run.
/// \returns whether the connection stays open
using handler = std::function<bool(int fd, const message &request, const std::string &worker)>;

struct machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    int pid = 0;

    // The worker.
    std::string id;
    std::string state = "ready";
    long born = 0;
    std::atomic<long> sequence{0};
    int slots = 60;
    handler run;
    std::atomic<bool> up{true};
    std::atomic<bool> beats{true};  ///< sends heartbeats
};

class deployment
{
public:
    record rec;
    store platform;
    std::vector<std::unique_ptr<machine>> machines;

    deployment(const std::string &folder, const std::string &program)
        : rec(folder + "/record.txt"), program_(program)
    {
        char name[] = "/tmp/gullstall-case-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            die("no temporary folder");
        }
        temporary_ = name;
        for (int i = 0; i < 100; ++i) {
            net_ = "127." + std::to_string(64 + (::getpid() + i) % 128) + "." +
                   std::to_string((::getpid() / 128 + i) % 250) + ".";
            int probe = listen_at(net_ + "1", port::store);
            if (probe >= 0) {
                ::close(probe);
                break;
            }
        }
        platform.listen(net_ + "1", port::store);
    }

    ~deployment()
    {
        stop_all();
    }

    machine &add(const std::string &service, const std::string &zone, handler run)
    {
        auto it = std::make_unique<machine>();
        it->name = "sidecar-" + zone + "-" + std::to_string(machines.size() + 1);
        it->zone = zone;
        it->service = service;
        it->ip = net_ + std::to_string(machines.size() + 10);
        it->run = std::move(run);
        machines.push_back(std::move(it));
        return *machines.back();
    }

    /// Starts the sidecar of a machine with the settings that the deploy file's template gives.
    void start_sidecar(machine &it)
    {
        std::string file = temporary_ + "/" + it.name + ".ini";
        auto at = [&](int port) { return it.ip + ":" + std::to_string(port) + "\n"; };
        std::ofstream(file) << "[node]\nname = " << it.name << "\nzone = " << it.zone
                            << "\nservice = " << it.service << "\nmemory_mb = 260\n\n[listen]\n"
                            << "callers = " << at(port::callers) << "peers = " << at(port::peers)
                            << "readiness = " << at(port::readiness)
                            << "control = " << at(port::control)
                            << "metrics = " << at(port::metrics)
                            << "\n[upstream]\nendpoint = " << at(port::upstream)
                            << "heartbeat_interval_ms = 1500\n\n[store]\nendpoint = " << net_
                            << "1:" << port::store
                            << "\n\n[limits]\nstop_s = 6\nretry_ratio = 0.2\nretry_slack = 49\n"
                               "retry_window_s = 10\n";
        std::string log = temporary_ + "/" + it.name + ".log";
        std::string variable = "GULLSTALL_SETTINGS=" + file;
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        int pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(out, 1);
            ::dup2(out, 2);
            char *arguments[] = {const_cast<char *>(program_.c_str()), nullptr};
            char *environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            ::execve(program_.c_str(), arguments, environment);
            ::_exit(127);
        }
        ::close(out);
        it.pid = pid;
        rec.line("start " + it.name + " pid " + std::to_string(pid));
    }

    /// Starts the worker of a machine and its heartbeats.
    void start_worker(machine &it)
    {
        it.born = std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
        it.id = "i-" + it.name + "-" + std::to_string(it.born % 100000);
        int fd = listen_at(it.ip, port::upstream);
        if (fd < 0) {
            die("no port for a worker");
        }
        serve(fd, [this, &it](int connection) { work(it, connection); });
        std::thread([&it] {
            while (it.up && it.beats) {
                sleep_ms(beat(it) ? 1500 : 100);
            }
        }).detach();
    }

    /// \returns the body of the worker's next heartbeat
    static std::string next_beat(machine &it)
    {
        return json::serialize(
            json::object{{"service", it.service},
                         {"address", it.ip + ":" + std::to_string(port::upstream)},
                         {"zone", it.zone},
                         {"version", "v1"},
                         {"slots", it.slots},
                         {"state", it.state},
                         {"cold-remaining-ms", 0},
                         {"seq", ++it.sequence},
                         {"born", it.born}});
    }

    /// Sends a call of the worker to its node.
    /// \returns whether it is acknowledged
    static bool say(machine &it, const std::string &method, const std::string &text)
    {
        int fd = connect_to(it.ip, port::control);
        if (fd < 0) {
            return false;
        }
        message answer;
        bool done = send_all(fd, method + " /v1/instances/" + it.id +
                                     " HTTP/1.1\r\nHost: control\r\n"
                                     "Content-Type: application/json\r\nContent-Length: " +
                                     std::to_string(text.size()) + "\r\n\r\n" + text) &&
                    reader(fd).read(answer, 1000) && answer.status() == 200;
        ::close(fd);
        return done;
    }

    static bool beat(machine &it)
    {
        return say(it, "PUT", next_beat(it));
    }

    /// Starts all and waits until every sidecar says that it is ready.
    void start(const std::string &config)
    {
        platform.put("op", "config", config);
        for (auto &it : machines) {
            start_sidecar(*it);
            start_worker(*it);
        }
        for (auto &it : machines) {
            wait_ready(*it);
        }
        sleep_ms(2500);  // heartbeats and statuses
    }

    void wait_ready(machine &it)
    {
        for (int i = 0; i < 200; ++i) {
            int fd = connect_to(it.ip, port::readiness);
            message answer;
            bool ready = fd >= 0 && send_all(fd, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                         reader(fd).read(answer, 1000) && answer.status() == 200;
            if (fd >= 0) {
                ::close(fd);
            }
            if (ready) {
                return;
            }
            sleep_ms(100);
        }
        die(it.name + " is not ready");
    }

    /// \returns whether the process still runs; otherwise its end has been collected
    bool is_running(machine &it)
    {
        int status = 0;
        if (it.pid == 0) {
            return false;
        }
        if (::waitpid(it.pid, &status, WNOHANG) == it.pid) {
            rec.line("end of " + it.name + " status " + std::to_string(status));
            it.pid = 0;
            return false;
        }
        return true;
    }

    void stop_all()
    {
        for (auto &it : machines) {
            it->up = false;
            if (it->pid != 0) {
                ::kill(it->pid, SIGKILL);
                ::waitpid(it->pid, nullptr, 0);
                it->pid = 0;
            }
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            for (auto &it : machines) {
                ::unlink((temporary_ + "/" + it->name + ".ini").c_str());
                ::unlink((temporary_ + "/" + it->name + ".log").c_str());
            }
            ::rmdir(temporary_.c_str());
        } else {
            std::printf("logs in %s\n", temporary_.c_str());
        }
    }

private:
    void work(machine &it, int fd)
    {
        reader in(fd);
        message request;
        while (it.up && in.read(request, 60000)) {
            std::string id = request.field("gullstall-attempt-id");
            if (request.second == "/health") {
                if (!send_all(fd, response(200, "Gullstall-Instance-Id: " + it.id + "\r\n", ""))) {
                    break;
                }
                continue;
            }
            std::string expected = request.field("gullstall-expect-instance");
            if (!expected.empty() && expected != it.id) {
                if (!send_all(fd, response(421, "Gullstall-Attempt-Id: " + id + "\r\n", ""))) {
                    break;
                }
                continue;
            }
            if (!it.run(fd, request, it.name)) {
                break;
            }
        }
        ::close(fd);
    }

    std::string program_;
    std::string temporary_;
    std::string net_;
};

inline std::string seal(const std::string &id)
{
    return "Gullstall-Attempt-Id: " + id + "\r\nGullstall-Server-Seal: seal-" + id +
           "\r\nKeep-Alive: timeout=5\r\n";
}

inline std::string request(const std::string &method, const std::string &target,
                           const std::string &id, int left_ms, const std::string &body,
                           const std::string &more = "")
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: calls.example\r\nGullstall-Attempt-Id: " + id +
           "\r\nGullstall-Deadline-Ms: " + std::to_string(left_ms) + "\r\n" + more +
           (method == "GET" && body.empty()
                ? ""
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

}  // namespace kit
