#ifndef GULLSTALL_REVIEW_STANDINS_HPP
#define GULLSTALL_REVIEW_STANDINS_HPP

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for the platform's store, workers and clients, with threads and
/// blocking calls, and the start of whole nodes as processes.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;
using std::chrono::milliseconds;

inline constexpr const char *loopback = "127.0.0.1";

/// \returns milliseconds since the start of the program
std::int64_t now_ms();
std::uint64_t unix_ms();
void sleep_ms(std::int64_t ms);

/// \returns whether the environment asks for the disruption (TROUBLE is not 0)
bool with_trouble();

/// Writes a line to record.txt and to standard output.
void note(const std::string &line);

/// Writes a line to record.txt only: what was sent, answered and run.
void trace(const std::string &line);
void open_record(const std::string &file);

/// \returns a free port of loopback, below those that the system gives out itself
std::uint16_t free_port();

/// Serves HTTP on a thread for each connection.
using request_handler = std::function<http_response(const http_request &)>;
void serve_http(std::uint16_t port, request_handler handler);

http_response answer(http::status status, std::string body = "");

/// One exchange on a connection of its own; none if no complete answer came.
std::optional<http_response> exchange(std::uint16_t port, http_request request,
                                      std::int64_t timeout_ms);

/// The platform's store: rows in tables, in memory.
class store
{
public:
    explicit store(std::uint16_t port);

    void put(const std::string &table, const std::string &key, const std::string &value);

private:
    struct row
    {
        std::string table;
        std::string key;
        std::string value;  ///< base64
        std::uint64_t version = 0;
    };

    http_response on_request(const http_request &request);
    http_response get_rows(const std::map<std::string, std::string> &query);
    http_response feed_rows(const std::map<std::string, std::string> &query);
    http_response change_rows(const std::string &body);
    json::object envelope(const json::array &rows) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 0;
};

/// A machine: its addresses and the node's process.
struct machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::uint16_t callers = 0;
    std::uint16_t peers = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;
    std::uint16_t app = 0;
    int pid = 0;
};

machine make_machine(const std::string &name, const std::string &zone, const std::string &service);

/// Starts the node with the command of the deploy file.
void start_node(machine &it, std::uint16_t store_port);

/// Sends SIGKILL and waits for the end of the process.
void kill_node(machine &it);

/// \returns whether the process runs
bool is_running(const machine &it);

/// \returns processor time used by the process, in milliseconds
std::int64_t cpu_ms(const machine &it);

/// Ends all processes, removes the temporary folder and exits.
[[noreturn]] void finish(int status);

/// \returns whether the node answers its readiness with 200
bool is_ready(const machine &it);

/// Waits until all nodes are ready. Exits with 2 if they are not after some seconds.
void wait_ready(const std::vector<machine *> &all);

/// A request that a worker runs.
struct run
{
    std::string id;
    std::string target;
    std::string tenant;
    bool has_key = false;  ///< the client's key was passed on
    http_request request;
};

/// A worker beside a node: announces itself and runs requests.
class worker
{
public:
    using behaviour = std::function<http_response(const run &)>;

    worker(machine &beside, std::string id, std::uint32_t slots, behaviour what);

    /// One heartbeat; \returns whether it was acknowledged within a second
    bool beat(const char *state);
    std::string beat_body(const char *state, std::uint64_t sequence) const;
    bool send_beat(const std::string &body);
    bool send_leave();

    /// Sends heartbeats until stop_beats().
    void start_beats();
    void stop_beats();

    std::uint64_t last_sequence() const
    {
        return sequence_;
    }

private:
    http_response on_request(const http_request &request);

    machine &beside_;
    std::string id_;
    std::uint32_t slots_;
    behaviour what_;
    std::uint64_t born_;
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> beats_{false};
};

/// Adds to \a response what a worker's answer to a run bears.
http_response seal(const run &it, std::string body);

/// A configuration in the form of the operator's row.
struct route
{
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind = "safe";
    int timeout_ms = 5000;
    bool auth_exempt = false;
};

struct tenant
{
    std::string name;
    std::string key;
};

inline constexpr const char *host = "calls.example";

std::string make_config(int version, const std::vector<route> &routes,
                        const std::vector<std::string> &services,
                        const std::vector<tenant> &tenants = {});

/// A request of a client.
http_request client_request(http::verb method, const std::string &target, const std::string &id,
                            int deadline_ms, const std::string &key = "");

}  // namespace review

#endif
