/// Four services whose runs look something up at the other services. Their nodes stop
/// answering: requests get no answer at their route's timeout nor after it.

#include <memory>

#include "../standins/standins.hpp"

namespace {

using namespace review;

constexpr int deadline_ms = 5000;
constexpr int timeout_ms = 2000;
constexpr int late_ms = 500;  // of the rule CONFIG
constexpr int fewest = 8;     // unanswered requests from which on the rule is judged here
constexpr std::int64_t usual_time_ms = 8000;
constexpr std::int64_t calls_time_ms = 20000;
constexpr std::int64_t interval_ms = 100;

const std::vector<std::string> services{"faultbook", "dispatcher", "photodesk", "boxwatch"};

/// A worker's call through the outbound address of its own machine.
bool call(const machine &beside, const std::string &service, const std::string &id)
{
    auto got = exchange(beside.callers,
                        client_request(http::verb::get, "/" + service + "/lookup", id, deadline_ms),
                        deadline_ms);
    return got && got->result() == http::status::ok;
}

/// A run takes 20 ms. "/SERVICE/view" looks something up at the services behind it in the
/// list, "/SERVICE/related" at all others. A lookup makes no calls.
http_response run_request(const machine &beside, const run &it)
{
    constexpr std::int64_t work_ms = 20;
    trace("worker of " + beside.service + " runs " + it.id + " " + it.target);
    sleep_ms(work_ms);
    bool calls_later = it.target.ends_with("/view");
    bool calls_all = it.target.ends_with("/related");
    bool is_later = false;
    int number = 0;
    for (const std::string &other : services) {
        bool is_own = other == beside.service;
        bool called = !is_own && (calls_all || (calls_later && is_later));
        is_later = is_later || is_own;
        if (called && !call(beside, other, it.id + "-" + std::to_string(++number))) {
            http_response failed = answer(http::status::internal_server_error);
            failed.set("Gullstall-Attempt-Id", it.id);
            failed.set("Gullstall-Server-Seal", "seal-" + it.id);
            return failed;
        }
    }
    return seal(it, "looked up by " + beside.service);
}

struct tally
{
    std::mutex mutex;
    int sent = 0;
    int answered = 0;
    int open_at_timeout = 0;
    int open_later = 0;
};

/// Sends a request and counts how it was answered.
void send_request(const machine &at, const std::string &kind, std::int64_t number, tally &seen)
{
    std::string id = at.service + std::to_string(number);
    std::int64_t sent_at = now_ms();
    trace("sent " + id + " " + kind + " to " + at.name);
    auto got = exchange(
        at.callers, client_request(http::verb::get, "/" + at.service + "/" + kind, id, deadline_ms),
        deadline_ms);
    std::int64_t passed = now_ms() - sent_at;
    std::lock_guard lock(seen.mutex);
    ++seen.sent;
    seen.answered += got && got->result() == http::status::ok ? 1 : 0;
    seen.open_at_timeout += passed >= timeout_ms ? 1 : 0;
    seen.open_later += passed >= timeout_ms + late_ms ? 1 : 0;
    trace("answered " + id + ": " +
          (got ? std::to_string(got->result_int()) : std::string("none")) + " after " +
          std::to_string(passed) + " ms");
}

/// Sends requests at all machines for a time and waits for their ends.
void drive(const std::vector<std::unique_ptr<machine>> &machines, const std::string &kind,
           std::int64_t length_ms, tally &seen)
{
    static std::atomic<std::int64_t> last{0};
    std::vector<std::thread> open;
    for (std::int64_t end = now_ms() + length_ms; now_ms() < end;) {
        for (const auto &it : machines) {
            open.emplace_back(send_request, std::cref(*it), kind, ++last, std::ref(seen));
        }
        sleep_ms(interval_ms);
    }
    for (std::thread &it : open) {
        it.join();
    }
    note(kind + ": sent " + std::to_string(seen.sent) + ", answered with 200 " +
         std::to_string(seen.answered) + ", unanswered at the timeout of " +
         std::to_string(timeout_ms) + " ms " + std::to_string(seen.open_at_timeout) +
         ", unanswered " + std::to_string(late_ms) + " ms later " +
         std::to_string(seen.open_later));
}

}  // namespace

int main(int argc, char **argv)
{
    open_record(argc > 1 ? argv[1] : "record.txt");
    std::uint16_t store_port = free_port();
    static store rows(store_port);
    std::vector<route> routes;
    routes.reserve(services.size());
    for (const std::string &it : services) {
        routes.push_back(route{it, "/" + it + "/", it, "safe", timeout_ms});
    }
    rows.put("op", "config", make_config(1, routes, services));
    static std::vector<std::unique_ptr<machine>> machines;
    static std::vector<std::unique_ptr<worker>> workers;
    std::vector<machine *> all;
    for (const std::string &it : services) {
        machines.push_back(std::make_unique<machine>(make_machine(it + "-1", "midrand", it)));
        machine &beside = *machines.back();
        workers.push_back(std::make_unique<worker>(
            beside, "i-" + it, 100,
            [&beside](const run &what) { return run_request(beside, what); }));
        start_node(beside, store_port);
        workers.back()->start_beats();
        all.push_back(&beside);
    }
    wait_ready(all);
    sleep_ms(1500);
    tally usual;
    drive(machines, "view", usual_time_ms, usual);
    if (usual.answered * 10 < usual.sent * 9) {
        note("fewer than nine tenths of the usual requests were answered: could not run");
        finish(2);
    }
    tally seen;
    drive(machines, with_trouble() ? "related" : "view", calls_time_ms, seen);
    for (machine *it : all) {
        note("node " + it->name + (is_running(*it) ? " runs" : " has ended") + ", used " +
             std::to_string(cpu_ms(*it)) + " ms of a processor, " +
             (is_ready(*it) ? "says that it is ready" : "doesn't say that it is ready"));
    }
    // CONFIG: more than half of those that are unanswered at the timeout have no answer later.
    bool is_broken = seen.open_at_timeout >= fewest && seen.open_later * 2 > seen.open_at_timeout;
    tally after;
    if (is_broken) {
        // The operator starts all nodes again, and nobody makes such requests any more.
        for (machine *it : all) {
            kill_node(*it);
        }
        sleep_ms(1000);
        for (machine *it : all) {
            start_node(*it, store_port);
        }
        sleep_ms(5000);
        drive(machines, "view", usual_time_ms, after);
    }
    finish(is_broken ? 1 : 0);
}
