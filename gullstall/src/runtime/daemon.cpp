#include "gullstall/src/runtime/daemon.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

#include "gullstall/node.hpp"
#include "gullstall/src/runtime/callers_http.hpp"
#include "gullstall/src/runtime/http_client.hpp"
#include "gullstall/src/runtime/log.hpp"
#include "gullstall/src/runtime/mailbox.hpp"
#include "gullstall/src/runtime/peer_transport.hpp"
#include "gullstall/src/runtime/platform_http.hpp"
#include "gullstall/src/runtime/process_signals.hpp"

namespace gullstall::runtime {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Entries of each ring. It is above the number of calls in flight that the
/// connection limits allow, so rings that carry answers are never full.
constexpr std::size_t ring_entries = 131072;

/// Entries that calls leave free in the ring from the callers. Each call may be
/// followed by one notice that its caller has gone, which must find room even
/// when the decisions lag and the ring is full of calls.
constexpr std::size_t callers_reserve = ring_entries / 4 * 3;

/// Entries that frames leave free in the ring from the peers, for the notices
/// that a connection broke: a full ring itself breaks connections.
constexpr std::size_t peers_reserve = 4096;

/// Entries that log lines leave free for answers on the admin port.
constexpr std::size_t admin_reserve = 1024;

/// The admin port is for operators: few connections, small requests.
constexpr http_limits admin_limits{4096, 8192, 64, seconds(5)};

/// Time that a request to the worker may take beyond its time left, so that
/// the node's own deadline comes first.
constexpr duration worker_grace = seconds(1);

/// Time that a stopping node lives on after the order, until callers and peers have all
/// heard that it leaves. A call sent to a node that is gone already would end without
/// anyone knowing whether it ran.
constexpr duration stop_linger = seconds(2);

/// The same after its last call has ended.
constexpr duration last_linger = milliseconds(200);

/// Time that the last answers have to leave the process.
constexpr duration stop_flush_limit = seconds(10);

/// Time in which a worker that lives takes a connection.
constexpr duration worker_check_timeout = milliseconds(500);

using worker_order = std::variant<run_on_worker, cancel_on_worker, check_worker>;
using admin_order = std::variant<answer_admin, write_log>;

/// Time since the epoch of the process's start, on a clock that never goes back.
class daemon_clock
{
public:
    daemon_clock()
        : origin_(duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch())),
          start_(std::chrono::steady_clock::now())
    {
    }

    time_point now() const
    {
        return time_point(origin_ +
                          duration_cast<duration>(std::chrono::steady_clock::now() - start_));
    }

private:
    duration origin_;
    std::chrono::steady_clock::time_point start_;
};

tcp::endpoint endpoint_of(const std::string &address, std::uint16_t port)
{
    return tcp::endpoint(asio::ip::make_address(address), port);
}

/// One thread with its io_context.
struct duty
{
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(io);
    std::thread thread;

    void start()
    {
        thread = std::thread([this] { io.run(); });
    }
    void finish()
    {
        io.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }
};

/// The node with its threads: callers, worker, peers, platform, admin (with the
/// log) and, on the thread that runs it, the decisions.
class daemon
{
public:
    daemon(const node_settings &settings, node &&made);
    void run();

private:
    void apply(event &&what);
    void carry_out(action &&what);
    void log_line(write_log &&line);
    void schedule_tick();
    bool flushed();
    void refuse_busy(std::uint64_t id, wire::outcome outcome);
    void on_callers_request(std::uint64_t id, http_request &&request);
    void on_admin_request(std::uint64_t id, const http_request &request);
    void on_worker_order(worker_order &&order);
    asio::awaitable<void> run_call(run_on_worker order, std::shared_ptr<exchange_handle> handle);
    asio::awaitable<void> try_worker();
    asio::awaitable<void> ask(request_platform order);
    void on_admin_order(admin_order &&order);
    void wait_signal();
    void send(send_frame &&order);

    /// For what must not be lost: a full ring is then a broken invariant.
    template <class T>
    static void push_always(mailbox<T> &ring, T entry)
    {
        if (!ring.push(entry)) {
            std::abort();
        }
    }

    node_settings settings_;
    daemon_clock clock_;
    node node_;
    std::optional<time_point> stop_at_;
    std::optional<time_point> flush_until_;
    std::uint64_t lost_lines_ = 0;

    duty decisions_;
    duty callers_;
    duty worker_;
    duty peers_;
    duty platform_;
    duty admin_;

    mailbox<event> from_callers_;
    mailbox<event> from_worker_;
    mailbox<event> from_peers_;
    mailbox<event> from_platform_;
    mailbox<event> from_admin_;
    mailbox<answer_call> to_callers_;
    mailbox<worker_order> to_worker_;
    mailbox<send_frame> to_peers_;
    mailbox<request_platform> to_platform_;
    mailbox<admin_order> to_admin_;

    asio::steady_timer tick_timer_;
    asio::signal_set signals_;
    http_server callers_server_;
    http_server admin_server_;
    http_client worker_client_;
    http_client platform_client_;
    peer_transport transport_;
    std::unordered_map<run_ref, std::shared_ptr<exchange_handle>> running_;
};

daemon::daemon(const node_settings &settings, node &&made)
    : settings_(settings),
      node_(std::move(made)),
      from_callers_(decisions_.io, ring_entries, [this](event &&e) { apply(std::move(e)); }),
      from_worker_(decisions_.io, ring_entries, [this](event &&e) { apply(std::move(e)); }),
      from_peers_(decisions_.io, ring_entries, [this](event &&e) { apply(std::move(e)); }),
      from_platform_(decisions_.io, ring_entries, [this](event &&e) { apply(std::move(e)); }),
      from_admin_(decisions_.io, ring_entries, [this](event &&e) { apply(std::move(e)); }),
      to_callers_(callers_.io, ring_entries,
                  [this](answer_call &&it) {
                      callers_server_.answer(static_cast<std::uint64_t>(it.call),
                                             encode_caller_answer(std::move(it.answer)));
                  }),
      to_worker_(worker_.io, ring_entries,
                 [this](worker_order &&it) { on_worker_order(std::move(it)); }),
      to_peers_(
          peers_.io, ring_entries,
          [this](send_frame &&it) { transport_.send(it.instance, it.to, std::move(it.frame)); }),
      to_platform_(platform_.io, ring_entries,
                   [this](request_platform &&it) {
                       asio::co_spawn(platform_.io, ask(std::move(it)), asio::detached);
                   }),
      to_admin_(admin_.io, ring_entries,
                [this](admin_order &&it) { on_admin_order(std::move(it)); }),
      tick_timer_(decisions_.io),
      signals_(admin_.io, SIGTERM, SIGINT),
      callers_server_(
          callers_.io, endpoint_of(settings.listen.address, settings.listen.callers_port),
          http_limits{settings.listen.body_limit_bytes, settings.listen.header_limit_bytes,
                      settings.listen.connection_limit,
                      milliseconds(settings.listen.read_timeout_ms)},
          http_handlers{[this](std::uint64_t id, http_request &&request) {
                            on_callers_request(id, std::move(request));
                        },
                        [this](std::uint64_t id) {
                            push_always(from_callers_, event{call_abandoned{call_ref{id}}});
                        }}),
      admin_server_(
          admin_.io, endpoint_of(settings.listen.address, settings.listen.admin_port), admin_limits,
          http_handlers{
              [this](std::uint64_t id, http_request &&request) { on_admin_request(id, request); },
              [](std::uint64_t) {}}),
      worker_client_(worker_.io, endpoint_of(settings.worker.address, settings.worker.port),
                     settings.listen.body_limit_bytes),
      platform_client_(platform_.io, endpoint_of(settings.platform.address, settings.platform.port),
                       settings.listen.body_limit_bytes),
      transport_(
          peers_.io, endpoint_of(settings.listen.address, settings.listen.peers_port),
          peer_handlers{
              [this](wire::frame_message &&frame) {
                  event arrived{frame_arrived{std::move(frame)}};
                  return from_peers_.push_leaving(arrived, peers_reserve);
              },
              [this](const std::string &instance, std::vector<std::uint64_t> unsent) {
                  push_always(from_peers_, event{peer_unreachable{instance, std::move(unsent)}});
              },
              [](const std::string &reason) {
                  write_line(write_log{write_log::severity::warning, "peers", reason});
              }})
{
}

void daemon::apply(event &&what)
{
    for (action &it : step(node_, clock_.now(), std::move(what))) {
        carry_out(std::move(it));
    }
}

void daemon::send(send_frame &&order)
{
    if (to_peers_.push(order)) {
        return;
    }
    // The ring to the peers is full. A call in the frame gets its refusal at
    // once, as if the peer had given it; other frames are sent again later by
    // those who own them.
    const wire::call_message *call = order.frame.payload.Ascall();
    if (call == nullptr) {
        return;
    }
    wire::reply_message reply;
    reply.correlation = call->correlation;
    reply.outcome = wire::outcome::not_run;
    reply.refusal = wire::refusal::busy;
    reply.unspent = call->allowance;
    wire::frame_message frame;
    frame.sender = order.instance;
    frame.payload.Set(std::move(reply));
    asio::post(decisions_.io,
               [this, held = std::make_shared<wire::frame_message>(std::move(frame))] {
                   apply(event{frame_arrived{std::move(*held)}});
               });
}

void daemon::carry_out(action &&what)
{
    std::visit(
        [this](auto &it) {
            using kind = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<kind, answer_call>) {
                push_always(to_callers_, std::move(it));
            } else if constexpr (std::is_same_v<kind, send_frame>) {
                send(std::move(it));
            } else if constexpr (std::is_same_v<kind, run_on_worker> ||
                                 std::is_same_v<kind, cancel_on_worker> ||
                                 std::is_same_v<kind, check_worker>) {
                push_always(to_worker_, worker_order{std::move(it)});
            } else if constexpr (std::is_same_v<kind, request_platform>) {
                push_always(to_platform_, std::move(it));
            } else if constexpr (std::is_same_v<kind, answer_admin>) {
                push_always(to_admin_, admin_order{std::move(it)});
            } else if constexpr (std::is_same_v<kind, write_log>) {
                log_line(std::move(it));
            } else {
                static_assert(std::is_same_v<kind, exit_process>, "an action is not carried out");
                stop_at_ =
                    std::max(clock_.now() + last_linger, node_.stop_requested_at + stop_linger);
            }
        },
        what);
}

/// Hands a line to the log's thread. The log may block on its reader: lines
/// that find no room are counted, and the count is logged when there is room.
void daemon::log_line(write_log &&line)
{
    if (lost_lines_ > 0) {
        admin_order count{write_log{write_log::severity::warning, "node",
                                    std::to_string(lost_lines_) + " log lines were lost"}};
        if (to_admin_.push_leaving(count, admin_reserve)) {
            lost_lines_ = 0;
        }
    }
    admin_order order{std::move(line)};
    if (!to_admin_.push_leaving(order, admin_reserve)) {
        ++lost_lines_;
    }
}

void daemon::schedule_tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const boost::system::error_code &ec) {
        if (ec) {
            return;
        }
        apply(event{tick{}});
        if (stop_at_ && clock_.now() >= *stop_at_ && flushed()) {
            decisions_.io.stop();
            return;
        }
        schedule_tick();
    });
}

/// Closes the callers' connections after their answers.
/// \returns whether all answers have left the process, or had time enough
bool daemon::flushed()
{
    if (!flush_until_) {
        flush_until_ = clock_.now() + stop_flush_limit;
        asio::post(callers_.io, [this] { callers_server_.stop(); });
        return false;
    }
    bool settled =
        node_.idempotency.writer.writes.empty() || clock_.now() >= node_.outcome_write_deadline;
    bool empty = settled && node_.calls.empty() && node_.runs.empty() &&
                 callers_server_.is_drained() && to_peers_.is_drained() &&
                 transport_.bytes_waiting() == 0;
    return empty || clock_.now() >= *flush_until_;
}

void daemon::refuse_busy(std::uint64_t id, wire::outcome outcome)
{
    callers_server_.answer(id, encode_caller_answer(caller_answer{
                                   outcome, wire::refusal::busy, "", "", 0, 1000, 0, "", {}}));
}

void daemon::on_callers_request(std::uint64_t id, http_request &&request)
{
    result<callers_request> read = decode_callers_request(std::move(request));
    if (!succeeded(read)) {
        callers_server_.answer(id, encode_bad_request(error_of(read)));
        return;
    }
    callers_request &what = value_of(read);
    if (auto *call = std::get_if<call_request>(&what)) {
        // A repeat of a key may have run before: only a first attempt is not run for sure.
        bool knows = call->key.empty() || call->attempt == 1;
        event arrived{call_arrived{call_ref{id}, std::move(*call)}};
        if (!from_callers_.push_leaving(arrived, callers_reserve)) {
            refuse_busy(id, knows ? wire::outcome::not_run : wire::outcome::unknown);
        }
        return;
    }
    if (std::holds_alternative<key_request>(what)) {
        event asked{key_requested{call_ref{id}}};
        if (!from_callers_.push_leaving(asked, callers_reserve)) {
            refuse_busy(id, wire::outcome::not_run);
        }
        return;
    }
    if (auto *announced = std::get_if<worker_announced>(&what)) {
        push_always(from_callers_, event{*announced});
    } else {
        push_always(from_callers_, event{worker_leaving{}});
    }
    callers_server_.answer(id, encode_notice_taken());
}

void daemon::on_admin_request(std::uint64_t id, const http_request &request)
{
    push_always(from_admin_, event{admin_requested{admin_ref{id}, std::string(request.target())}});
}

void daemon::on_admin_order(admin_order &&order)
{
    if (auto *line = std::get_if<write_log>(&order)) {
        write_line(*line);
        return;
    }
    auto &answer = std::get<answer_admin>(order);
    http_response response{static_cast<boost::beast::http::status>(answer.status), 11};
    response.set(boost::beast::http::field::content_type, answer.content_type);
    response.body().assign(answer.body.begin(), answer.body.end());
    response.prepare_payload();
    admin_server_.answer(static_cast<std::uint64_t>(answer.question), std::move(response));
}

void daemon::on_worker_order(worker_order &&order)
{
    if (auto *run = std::get_if<run_on_worker>(&order)) {
        auto handle = std::make_shared<exchange_handle>();
        running_[run->run] = handle;
        asio::co_spawn(worker_.io, run_call(std::move(*run), handle), asio::detached);
        return;
    }
    if (std::holds_alternative<check_worker>(order)) {
        asio::co_spawn(worker_.io, try_worker(), asio::detached);
        return;
    }
    auto it = running_.find(std::get<cancel_on_worker>(order).run);
    if (it != running_.end()) {
        http_client::cancel(*it->second);
    }
}

asio::awaitable<void> daemon::run_call(run_on_worker order, std::shared_ptr<exchange_handle> handle)
{
    run_ref id = order.run;
    duration timeout = order.time_left + worker_grace;
    exchange it =
        co_await worker_client_.send(encode_run(std::move(order)), timeout, std::move(handle));
    running_.erase(id);
    worker_answered answer{id, worker_end::lost, 0, "", {}};
    if (it.end == exchange_end::not_sent) {
        answer.end = worker_end::not_sent;
    } else if (it.end == exchange_end::answered) {
        answer.end =
            it.response[header::outcome] == "not-run" ? worker_end::refused : worker_end::answered;
        answer.status = static_cast<std::uint16_t>(it.response.result_int());
        answer.content_type = std::string(it.response[boost::beast::http::field::content_type]);
        answer.body = std::move(it.response.body());
    }
    push_always(from_worker_, event{std::move(answer)});
}

asio::awaitable<void> daemon::try_worker()
{
    using namespace asio::experimental::awaitable_operators;
    boost::system::error_code ec;
    boost::system::error_code timer_ec;
    tcp::socket socket(worker_.io);
    asio::steady_timer limit(worker_.io, worker_check_timeout);
    tcp::endpoint at = endpoint_of(settings_.worker.address, settings_.worker.port);
    auto ended =
        co_await (socket.async_connect(at, asio::redirect_error(asio::use_awaitable, ec)) ||
                  limit.async_wait(asio::redirect_error(asio::use_awaitable, timer_ec)));
    bool reachable = ended.index() == 0 && !ec;
    push_always(from_worker_, event{worker_checked{reachable}});
}

asio::awaitable<void> daemon::ask(request_platform order)
{
    platform_answer answer = co_await ask_over_http(platform_client_, std::move(order.what),
                                                    milliseconds(settings_.platform.timeout_ms));
    push_always(from_platform_, event{platform_answered{order.request, std::move(answer)}});
}

void daemon::wait_signal()
{
    signals_.async_wait([this](const boost::system::error_code &ec, int) {
        if (ec) {
            return;
        }
        push_always(from_admin_, event{stop_requested{}});
        wait_signal();
    });
}

void daemon::run()
{
    wait_signal();
    release_signals();
    schedule_tick();
    for (duty *it : {&callers_, &worker_, &peers_, &platform_, &admin_}) {
        it->start();
    }
    decisions_.io.run();
    for (duty *it : {&callers_, &worker_, &peers_, &platform_, &admin_}) {
        it->finish();
    }
}

}  // namespace

result<done> run_daemon(const node_settings &settings)
{
    // A closed reader of the log must not end the process with requests in flight.
    std::signal(SIGPIPE, SIG_IGN);
    open_log(settings.node.instance, settings.log.level);
    daemon_clock clock;
    auto incarnation = static_cast<std::uint64_t>(clock.now().time_since_epoch().count());
    result<node> made = make_node(settings, incarnation, std::random_device{}());
    if (!succeeded(made)) {
        return error_of(made);
    }
    try {
        daemon it(settings, value_of(std::move(made)));
        write_line(write_log{write_log::severity::info, "node", "started"});
        it.run();
    } catch (const boost::system::system_error &e) {
        return error{error_code::unavailable, std::string("cannot listen: ") + e.what()};
    }
    write_line(write_log{write_log::severity::info, "node", "stopped"});
    return done{};
}

}  // namespace gullstall::runtime
