// The cases of this review that are scripts: case NAME FOLDER PROGRAM. TROUBLE=0 leaves the
// disruption out. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "kit.hpp"

using namespace kit;

namespace {

/// LOST: a client reads a large answer slowly; the node that took its request is stopped and ends
/// while part of the answer waits in its socket; the client's next request makes the kernel reset
/// the connection, and the rest of the answer is gone.
int slow_reader_at_stop(deployment &d, bool trouble)
{
    constexpr std::size_t body_bytes = 36000;
    constexpr std::size_t bytes_per_s = 7200;
    constexpr long deadline_ms = 6000;
    constexpr long stop_at_ms = 200;
    constexpr long second_at_ms = 3000;
    constexpr int receive_buffer = 4096;
    constexpr int clients = 4;
    handler run = [&](int fd, const message &it, const std::string &worker) {
        std::string id = it.field("gullstall-attempt-id");
        d.rec.line("run " + id + " at " + worker);
        sleep_ms(40);
        return send_all(fd, response(200, seal(id), std::string(body_bytes, 'x')));
    };
    for (int i = 0; i < 6; ++i) {
        d.add("catalogue", "z" + std::to_string(i / 2), run);
    }
    d.start(print_config(1, {{"price-list", "catalogue", "safe", deadline_ms}}));
    machine &entry = *d.machines[0];

    struct client
    {
        int fd = -1;
        std::string got;
        std::string end;
        long ended_at = 0;
        bool sent_second = false;
    };
    std::vector<client> all(clients);
    long begin = now_ms();
    for (int i = 0; i < clients; ++i) {
        client &it = all[i];
        it.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(it.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        sockaddr_in at = address(entry.ip, port::callers);
        std::string id = "first-" + std::to_string(i);
        if (::connect(it.fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 ||
            !send_all(it.fd, request("GET", "/price-list/1", id, deadline_ms, ""))) {
            die("a client could not send");
        }
        d.rec.line("send " + id + " to " + entry.name);
    }
    bool stopped = false;
    constexpr long step_ms = 20;
    while (now_ms() - begin < deadline_ms - 200) {
        long at = now_ms() - begin;
        if (trouble && !stopped && at >= stop_at_ms) {
            stopped = true;
            d.rec.line("SIGTERM to " + entry.name);
            ::kill(entry.pid, SIGTERM);
        }
        if (stopped) {
            d.is_running(entry);
        }
        for (int i = 0; i < clients; ++i) {
            client &it = all[i];
            if (!it.end.empty()) {
                continue;
            }
            if (!it.sent_second && at >= second_at_ms && it.got.size() < body_bytes) {
                it.sent_second = true;
                bool sent =
                    send_all(it.fd, request("GET", "/price-list/2", "second-" + std::to_string(i),
                                            static_cast<int>(deadline_ms - at), ""));
                d.rec.line("send second-" + std::to_string(i) + (sent ? "" : " failed") +
                           " behind first-" + std::to_string(i) + ", of which " +
                           std::to_string(it.got.size()) + " bytes are read");
            }
            char bytes[8192];
            ssize_t n = ::recv(it.fd, bytes, bytes_per_s * step_ms / 1000, MSG_DONTWAIT);
            if (n > 0) {
                it.got.append(bytes, static_cast<std::size_t>(n));
            } else if (n == 0) {
                it.end = "end of the connection";
            } else if (errno != EAGAIN) {
                it.end = std::strerror(errno);
            }
            it.ended_at = at;
        }
        sleep_ms(step_ms);
    }
    int lost = 0;
    for (int i = 0; i < clients; ++i) {
        client &it = all[i];
        std::size_t head = it.got.find("\r\n\r\n");
        std::size_t body = head == std::string::npos ? 0 : it.got.size() - head - 4;
        bool closes = it.got.substr(0, std::min(head, it.got.size())).find("Connection: close") !=
                      std::string::npos;
        bool whole = it.got.compare(0, 12, "HTTP/1.1 200") == 0 && body >= body_bytes;
        bool broken = !whole && !it.end.empty();
        lost += broken ? 1 : 0;
        d.rec.line(
            "first-" + std::to_string(i) + ": " + std::to_string(std::min(body, body_bytes)) +
            " of " + std::to_string(body_bytes) + " bytes" + (closes ? ", Connection: close" : "") +
            (it.end.empty() ? ""
                            : ", " + it.end + " after " + std::to_string(it.ended_at) + " ms") +
            (whole    ? ", whole"
             : broken ? ", LOST"
                      : ", not at its end"));
        ::close(it.fd);
    }
    d.rec.line("lost " + std::to_string(lost) + " of " + std::to_string(clients));
    return lost > 0 ? 1 : 0;
}

/// UNASKED: a request whose body has a transfer coding that is not `chunked` is taken for one
/// without a body, and the bytes of its body for further requests.
int request_inside_request(deployment &d, bool trouble)
{
    std::mutex lock;
    std::vector<std::string> faults;
    std::map<std::string, std::string> sent;  // by id: what the client has sent
    handler run = [&](int fd, const message &it, const std::string &worker) {
        std::string id = it.field("gullstall-attempt-id");
        std::string what = it.first + " " + it.second + " body '" + it.body + "'";
        {
            std::lock_guard hold(lock);
            auto found = sent.find(id);
            bool known = found != sent.end();
            bool same = known && found->second == what;
            if (!same) {
                faults.push_back((known ? "changed: " : "sent by no client: ") + id + " " + what);
            }
            d.rec.line("run " + id + " at " + worker + ": " + what +
                       (same    ? ""
                        : known ? " UNASKED, changed"
                                : " UNASKED, sent by no client"));
        }
        sleep_ms(10);
        return send_all(fd, response(200, seal(id), "done " + id));
    };
    for (int i = 0; i < 6; ++i) {
        d.add(i % 2 ? "faultbook" : "dispatcher", "z" + std::to_string(i / 2), run);
    }
    d.start(
        print_config(1, {{"note", "faultbook", "unsafe"}, {"dispatch", "dispatcher", "unsafe"}}));

    // The text of a note that quotes a request, as a client that logs faults may send it.
    std::string text = request("POST", "/dispatch/9", "quoted", 4000, "two crews");
    int n = 0;
    for (const std::string &coding :
         std::vector<std::string>{"gzip", "identity", "chunked, gzip"}) {
        std::string id = "note-" + std::to_string(++n);
        std::string bytes;
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        std::string head =
            "POST /note/1 HTTP/1.1\r\nHost: calls.example\r\n"
            "Gullstall-Attempt-Id: " +
            id + "\r\nGullstall-Deadline-Ms: 4000\r\n";
        bytes = head;
        if (trouble) {
            bytes += "Transfer-Encoding: ";
            bytes += coding;
            bytes += "\r\n\r\n";
            bytes += text;
        } else {
            bytes += "Transfer-Encoding: chunked\r\n\r\n";
            bytes += size;
            bytes += text;
            bytes += "\r\n0\r\n\r\n";
        }
        {
            std::lock_guard hold(lock);
            sent[id] = "POST /note/1 body '" + text + "'";
        }
        d.rec.line("send " + id + " with " +
                   (trouble ? "Transfer-Encoding: " + coding : std::string("chunks")));
        int fd = connect_to(d.machines[n % 6]->ip, port::callers);
        if (fd < 0 || !send_all(fd, bytes)) {
            die("a client could not send");
        }
        reader in(fd);
        message answer;
        int answers = 0;
        while (in.read(answer, 2000)) {
            ++answers;
            std::string of = answer.field("gullstall-attempt-id");
            bool foreign = answer.status() / 100 == 2 && of != id;
            std::string line = "answer " + std::to_string(answers);
            line += " to " + id;
            line += ": " + std::to_string(answer.status());
            line += " of " + of;
            line += " '" + answer.body;
            line += foreign ? "' MIXED, of another request" : "'";
            d.rec.line(line);
        }
        ::close(fd);
    }
    std::lock_guard hold(lock);
    d.rec.line("faults " + std::to_string(faults.size()));
    return faults.empty() ? 0 : 1;
}

/// \returns the anonymous memory of a process in MiB, 0 if it is gone
long memory_mb(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.rfind("RssAnon:", 0) == 0) {
            return std::atol(line.c_str() + 8) / 1024;
        }
    }
    return 0;
}

constexpr long memory_limit_mb = 260;
constexpr std::size_t usual_upload_bytes = 360000;
constexpr int max_lost = 3;

/// What an entry machine's platform and its clients do while uploads go on: the platform kills a
/// process that exceeds its memory and starts the next one; clients send unsafe requests over
/// connections that they keep.
class watched_entry
{
public:
    watched_entry(deployment &d, machine &it, std::function<bool(const std::string &)> has_run,
                  int callers)
        : d_(d), it_(it), has_run_(std::move(has_run))
    {
        watcher_ = std::thread([this] { watch(); });
        for (int i = 0; i < callers; ++i) {
            threads_.emplace_back([this, i] { call(i); });
        }
    }

    void stop()
    {
        over_ = true;
        for (std::thread &it : threads_) {
            it.join();
        }
        watched_ = false;  // ends last: the process that it started ends with its thread
        watcher_.join();
        d_.rec.line(it_.name + ": ended " + std::to_string(ends_) +
                    " times over its memory, peak " + std::to_string(peak_) + " MB; calls served " +
                    std::to_string(served) + ", lost " + std::to_string(lost));
    }

    std::atomic<int> lost{0};
    std::atomic<int> served{0};

private:
    void watch()
    {
        while (watched_) {
            long used = memory_mb(it_.pid);
            peak_ = std::max(peak_, used);
            if (used > memory_limit_mb) {
                d_.rec.line("platform: " + it_.name + " uses " + std::to_string(used) + " of " +
                            std::to_string(memory_limit_mb) + " MB, killed");
                ::kill(it_.pid, SIGKILL);
                ::waitpid(it_.pid, nullptr, 0);
                ++ends_;
                sleep_ms(300);
                d_.start_sidecar(it_);
            }
            sleep_ms(1);
        }
    }

    void call(int caller)
    {
        constexpr long stagger_ms = 37;  // so that some calls are under way at any time
        sleep_ms(stagger_ms * caller);
        int n = 0;
        while (!over_) {
            int fd = connect_to(it_.ip, port::callers);
            if (fd < 0) {
                sleep_ms(100);
                continue;
            }
            reader in(fd);
            for (int kept = 0; !over_; ++kept) {
                std::string id =
                    "call-" + it_.name + "-" + std::to_string(caller) + "-" + std::to_string(++n);
                message answer;
                long sent_at = now_ms();
                bool sent = send_all(fd, request("POST", "/dispatch/1", id, 5000, "crew"));
                if (sent && in.read(answer, 5500)) {
                    served += answer.status() == 200 ? 1 : 0;
                    if (answer.field("connection") == "close") {
                        break;
                    }
                    sleep_ms(answer.status() == 200 ? 20 : 200);
                    continue;
                }
                bool ran = has_run_(id);
                bool counts = kept > 0 && ran && now_ms() - sent_at < 5000;
                lost += counts ? 1 : 0;
                d_.rec.line(id + ": connection closed after " + std::to_string(now_ms() - sent_at) +
                            " ms without an answer, " + (ran ? "has run" : "has not run") +
                            (counts ? ", LOST" : ""));
                break;
            }
            ::close(fd);
        }
    }

    deployment &d_;
    machine &it_;
    std::function<bool(const std::string &)> has_run_;
    std::atomic<bool> over_{false};
    std::atomic<bool> watched_{true};
    std::thread watcher_;
    int ends_ = 0;
    long peak_ = 0;
    std::vector<std::thread> threads_;
};

/// The ids of requests that workers have begun to run.
struct run_ids
{
    std::mutex lock;
    std::map<std::string, bool> ids;

    bool has(const std::string &id)
    {
        std::lock_guard hold(lock);
        return ids.count(id) > 0;
    }
};

handler photo_and_dispatch(deployment &d, run_ids &ran)
{
    return [&](int fd, const message &it, const std::string &worker) {
        std::string id = it.field("gullstall-attempt-id");
        {
            std::lock_guard hold(ran.lock);
            ran.ids[id] = true;
        }
        bool is_photo = it.second.rfind("/photo/", 0) == 0;
        if (is_photo) {
            d.rec.line("run " + id + " at " + worker + ", body of " +
                       std::to_string(it.body.size()) + " bytes");
        }
        sleep_ms(is_photo ? 72 : 300);
        return send_all(fd, response(200, seal(id), "done " + id));
    };
}

/// The configuration, with the limit of bodies that the pages' example has.
std::string photo_config()
{
    std::string out = print_config(
        1, {{"photo", "photodesk", "upload", 5000}, {"dispatch", "dispatcher", "unsafe", 5000}});
    std::string narrow = "\"max-body-bytes\":4194304";
    std::size_t at = out.find(narrow);
    if (at == std::string::npos) {
        die("no limit of bodies");
    }
    return out.replace(at, narrow.size(), "\"max-body-bytes\":67108864");
}

void upload(deployment &d, machine &entry, const std::string &id, const std::string &body)
{
    d.rec.line("send " + id + " to " + entry.name + ", body of " + std::to_string(body.size()) +
               " bytes");
    int fd = connect_to(entry.ip, port::callers);
    message answer;
    bool got = fd >= 0 && send_all(fd, request("POST", "/photo/1", id, 5000, body)) &&
               reader(fd).read(answer, 5500);
    d.rec.line("answer to " + id + ": " + (got ? std::to_string(answer.status()) : "none"));
    ::close(fd);
}

/// LOST: a node keeps, for each connection from another node, the memory of the largest request
/// that ever came over it. Uploads one after the other, each from another machine, take it
/// beyond its memory.
int uploads_one_after_the_other(deployment &d, bool trouble)
{
    constexpr std::size_t upload_bytes = 24U << 20U;
    constexpr int machines = 14;
    constexpr int callers = 8;
    run_ids ran;
    for (int i = 0; i < machines; ++i) {
        d.add(i == 0 ? "photodesk" : "dispatcher", "z" + std::to_string(i % 3),
              photo_and_dispatch(d, ran));
    }
    d.start(photo_config());
    machine &desk = *d.machines[0];
    watched_entry entry(
        d, desk, [&](const std::string &id) { return ran.has(id); }, callers);
    sleep_ms(1500);
    std::string body(trouble ? upload_bytes : usual_upload_bytes, 'p');
    for (int i = 1; i < machines; ++i) {
        upload(d, *d.machines[static_cast<std::size_t>(i)], "photo-" + std::to_string(i), body);
        sleep_ms(500);
        d.rec.line(desk.name + " uses " + std::to_string(memory_mb(desk.pid)) + " MB");
    }
    sleep_ms(2500);
    entry.stop();
    d.rec.line("lost " + std::to_string(entry.lost) + ", allowed " + std::to_string(max_lost));
    return entry.lost > max_lost ? 1 : 0;
}

/// DRAIN: a worker's leaving is acknowledged before it is stored. With the store away and the
/// node's process killed, the next process takes a late heartbeat for a worker that is ready.
int leaving_forgotten(deployment &d, bool trouble)
{
    constexpr long drain_ms = 2000;
    constexpr long contact_ms = 3000;
    constexpr long store_away_ms = 4500;
    constexpr long worker_ends_ms = 10500;  // after the acknowledgement
    struct run_at
    {
        long at;
        std::string id;
        std::string worker;
    };
    std::mutex lock;
    std::vector<run_at> runs;
    handler run = [&](int fd, const message &it, const std::string &worker) {
        std::string id = it.field("gullstall-attempt-id");
        {
            std::lock_guard hold(lock);
            runs.push_back(run_at{now_ms(), id, worker});
        }
        sleep_ms(78);
        machine *self = nullptr;
        for (auto &each : d.machines) {
            self = each->name == worker ? each.get() : self;
        }
        return self->up && send_all(fd, response(200, seal(id), "done " + id));
    };
    for (int i = 0; i < 6; ++i) {
        d.add(i % 2 ? "dispatcher" : "faultbook", "z" + std::to_string(i / 2), run);
    }
    std::atomic<bool> store_up{true};
    d.platform.lets = [&](const std::string &) { return store_up.load(); };
    d.start(
        print_config(1, {{"dispatch", "dispatcher", "unsafe"}, {"history", "faultbook", "safe"}}));
    machine &entry = *d.machines[0];
    machine &leaving = *d.machines[1];

    std::atomic<bool> over{false};
    std::atomic<int> failed{0};
    constexpr int caller_count = 4;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int i = 0; i < caller_count; ++i) {
        callers.emplace_back([&, i] {
            for (int n = 1; !over; ++n) {
                std::string id = "call-" + std::to_string(i) + "-" + std::to_string(n);
                int fd = connect_to(entry.ip, port::callers);
                message answer;
                bool got = fd >= 0 &&
                           send_all(fd, request("POST", "/dispatch/1", id, 3000, "crew")) &&
                           reader(fd).read(answer, 3500);
                if (!got || answer.status() != 200) {
                    std::lock_guard hold(lock);
                    auto ran = std::find_if(runs.begin(), runs.end(),
                                            [&](const run_at &it) { return it.id == id; });
                    std::string where = ran == runs.end() ? "" : ran->worker;
                    failed += where == leaving.name ? 1 : 0;
                    d.rec.line(id + ": " + (got ? std::to_string(answer.status()) : "no answer") +
                               (where.empty() ? ", has not run" : ", was run at " + where));
                }
                ::close(fd);
                sleep_ms(20);
            }
        });
    }
    sleep_ms(500);
    leaving.beats = false;
    std::string late = deployment::next_beat(leaving);
    d.rec.line(leaving.name + ": the worker sends a heartbeat (ready), which arrives late");
    long away_at = now_ms();
    if (trouble) {
        store_up = false;
        d.rec.line("store: down");
    }
    sleep_ms(200);
    if (!deployment::say(leaving, "DELETE", "")) {
        die("the leaving was not acknowledged");
    }
    long acked_at = now_ms();
    d.rec.line(leaving.name + ": DELETE of the worker acknowledged");
    sleep_ms(800);
    long started_at = acked_at;
    if (trouble) {
        d.rec.line("SIGKILL to " + leaving.name);
        ::kill(leaving.pid, SIGKILL);
        ::waitpid(leaving.pid, nullptr, 0);
        sleep_ms(300);
        started_at = now_ms();
        d.start_sidecar(leaving);
    }
    sleep_ms(1000);
    bool taken = deployment::say(leaving, "PUT", late);
    d.rec.line(leaving.name + ": the late heartbeat arrives, " + (taken ? "200" : "not taken"));
    sleep_ms(store_away_ms - (now_ms() - away_at));
    long store_back_at = now_ms();
    store_up = true;
    if (trouble) {
        d.rec.line("store: up");
    }
    sleep_ms(worker_ends_ms - (now_ms() - acked_at));
    leaving.up = false;
    d.rec.line(leaving.name + ": the worker exits");
    sleep_ms(1000);
    over = true;
    for (std::thread &it : callers) {
        it.join();
    }
    // In touch by every condition: the process has run, and the store has been up, for contact-ms.
    long in_touch_at = std::max(started_at, trouble ? store_back_at : acked_at) + contact_ms;
    int late_runs = 0;
    int late_runs_in_touch = 0;
    std::lock_guard hold(lock);
    for (const run_at &it : runs) {
        bool is_late = it.worker == leaving.name && it.at > acked_at + drain_ms;
        bool in_touch = is_late && it.at > in_touch_at;
        late_runs += is_late ? 1 : 0;
        late_runs_in_touch += in_touch ? 1 : 0;
        if (is_late) {
            d.rec.line("run " + it.id + " at " + it.worker + " " +
                       std::to_string(it.at - acked_at) + " ms after the acknowledgement, DRAIN" +
                       (in_touch ? ", in touch" : ""));
        }
    }
    d.rec.line("later than drain-ms: " + std::to_string(late_runs) + ", of these in touch " +
               std::to_string(late_runs_in_touch) + "; unsafe requests that were run by that " +
               "worker and failed: " + std::to_string(failed));
    return late_runs_in_touch > 0 ? 1 : 0;
}

/// LOST: nodes are stopped in turn. One of the two of a service holds its gate open, since the
/// other one is about to stop, takes runs that last longer than its process and cuts them at its
/// end; the node that took the requests from the clients, which is stopping too, answers them 502.
int stops_in_turn(deployment &d, bool trouble)
{
    constexpr long work_ms = 1900;
    constexpr long gap_ms = 1000;  // between two stops
    constexpr long send_ms = 4050;
    constexpr long timeout_ms = 6000;
    constexpr long grace_ms = 6000;
    constexpr int requests = 6;
    std::mutex lock;
    std::map<std::string, long> begins;
    std::map<std::string, long> ends;
    handler run = [&](int fd, const message &it, const std::string &worker) {
        std::string id = it.field("gullstall-attempt-id");
        bool is_long = it.second.rfind("/dispatch/", 0) == 0;
        if (is_long) {
            std::lock_guard hold(lock);
            begins[id] = now_ms();
            d.rec.line("run " + id + " at " + worker);
        }
        sleep_ms(is_long ? work_ms : 50);
        if (is_long) {
            std::lock_guard hold(lock);
            ends[id] = now_ms();
            d.rec.line("run " + id + " has ended well");
        }
        return send_all(fd, response(200, seal(id), "done " + id));
    };
    d.add("dispatcher", "z0", run);
    d.add("dispatcher", "z1", run);
    for (int i = 0; i < 4; ++i) {
        d.add("faultbook", "z" + std::to_string(i % 2), run);
    }
    d.start(print_config(1, {{"dispatch", "dispatcher", "unsafe", timeout_ms},
                             {"roster", "dispatcher", "safe", timeout_ms}}));
    machine &entry = *d.machines[2];
    machine &other = *d.machines[3];
    std::vector<machine *> stopped{d.machines[0].get(), d.machines[1].get(), &entry};

    std::atomic<bool> over{false};
    std::thread usual([&] {
        for (int n = 1; !over; ++n) {
            int fd = connect_to(other.ip, port::callers);
            message answer;
            if (fd >= 0 && send_all(fd, request("GET", "/roster/1", "roster-" + std::to_string(n),
                                                2000, ""))) {
                reader(fd).read(answer, 2500);
            }
            ::close(fd);
            sleep_ms(10);
        }
    });
    sleep_ms(2500);
    std::vector<int> connections;
    for (int i = 0; i < requests; ++i) {
        int fd = connect_to(entry.ip, port::callers);
        message answer;
        if (fd < 0 ||
            !send_all(fd, request("GET", "/roster/1", "first-" + std::to_string(i), 2000, "")) ||
            !reader(fd).read(answer, 2500)) {
            die("no answer before the stops");
        }
        connections.push_back(fd);
    }
    long begin = now_ms();
    auto wait_until = [&](long at) { sleep_ms(std::max(0L, begin + at - now_ms())); };
    std::vector<long> stopped_at;
    for (std::size_t i = 0; i < stopped.size(); ++i) {
        wait_until(static_cast<long>(i) * gap_ms);
        stopped_at.push_back(now_ms());
        if (trouble) {
            d.rec.line("SIGTERM to " + stopped[i]->name);
            ::kill(stopped[i]->pid, SIGTERM);
        }
    }
    std::thread platform([&] {
        while (!over) {
            for (machine *it : stopped) {
                if (it->pid != 0) {
                    d.is_running(*it);
                }
            }
            sleep_ms(5);
        }
    });
    wait_until(send_ms);
    long sent_at = now_ms();
    for (int i = 0; i < requests; ++i) {
        std::string id = "order-" + std::to_string(i);
        d.rec.line("send " + id + " to " + entry.name + ", " +
                   std::to_string(sent_at - stopped_at.back()) + " ms after its SIGTERM");
        send_all(connections[i], request("POST", "/dispatch/1", id, timeout_ms, "crew"));
    }
    struct result
    {
        int status = 0;
        bool sealed = false;
        long at = 0;
    };
    std::vector<result> results;
    for (int i = 0; i < requests; ++i) {
        message answer;
        bool got = reader(connections[i]).read(answer, timeout_ms + 1000);
        results.push_back(result{got ? answer.status() : 0,
                                 !answer.field("gullstall-server-seal").empty(), now_ms()});
        ::close(connections[i]);
    }
    sleep_ms(work_ms);
    over = true;
    usual.join();
    platform.join();
    int lost = 0;
    std::lock_guard hold(lock);
    for (int i = 0; i < requests; ++i) {
        std::string id = "order-" + std::to_string(i);
        const result &it = results[i];
        bool at_work = begins.count(id) > 0 && begins[id] < it.at && ends[id] > it.at;
        bool is_own = it.status == 0 || !it.sealed;
        long ended = ends.count(id) > 0 ? ends[id] : 0;
        // Excused: the time is over, or the worker is still at work in the last sixth of grace-s.
        bool excused =
            it.at - sent_at >= timeout_ms || ended >= stopped_at.back() + grace_ms * 5 / 6;
        bool broken = at_work && is_own && !excused;
        lost += broken ? 1 : 0;
        d.rec.line(id + ": " + std::to_string(it.status) + (it.sealed ? " of its worker" : "") +
                   " after " + std::to_string(it.at - sent_at) + " ms" +
                   (broken ? ", its worker was at work, LOST" : ""));
    }
    d.rec.line("lost " + std::to_string(lost) + " of " + std::to_string(requests));
    return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        die("usage: cases NAME FOLDER PROGRAM");
    }
    ::signal(SIGPIPE, SIG_IGN);
    const char *value = std::getenv("TROUBLE");
    bool trouble = value == nullptr || std::string(value) != "0";
    std::map<std::string, int (*)(deployment &, bool)> cases{
        {"slow-reader-at-stop", slow_reader_at_stop},
        {"request-inside-request", request_inside_request},
        {"uploads-one-after-the-other", uploads_one_after_the_other},
        {"leaving-forgotten", leaving_forgotten},
        {"stops-in-turn", stops_in_turn}};
    auto found = cases.find(argv[1]);
    if (found == cases.end()) {
        die("no such case");
    }
    if (::access(argv[3], X_OK) != 0) {
        die("no program; build it with the command of deploy/system.toml");
    }
    deployment d(argv[2], argv[3]);
    int result = found->second(d, trouble);
    d.stop_all();
    std::_Exit(result);
}
