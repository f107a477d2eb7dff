// The cases of this review that are scripts: case NAME FOLDER PROGRAM. TROUBLE=0 leaves the
// disruption out. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "kit.hh"

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
        bytes = trouble
                    ? head + "Transfer-Encoding: " + coding + "\r\n\r\n" + text
                    : head + "Transfer-Encoding: chunked\r\n\r\n" + size + text + "\r\n0\r\n\r\n";
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
            d.rec.line("answer " + std::to_string(answers) + " to " + id + ": " +
                       std::to_string(answer.status()) + " of " + of + " '" + answer.body + "'" +
                       (foreign ? " MIXED, of another request" : ""));
        }
        ::close(fd);
    }
    std::lock_guard hold(lock);
    d.rec.line("faults " + std::to_string(faults.size()));
    return faults.empty() ? 0 : 1;
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
        {"request-inside-request", request_inside_request}};
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
