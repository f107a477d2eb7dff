#include "gullstall/src/edge/mesh_daemon.hpp"

#include <boost/asio/post.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/http_answer.hpp"
#include "gullstall/src/edge/time_fields.hpp"
#include "gullstall/src/mesh/crash_guard.hpp"
#include "gullstall/src/mesh/quota_control.hpp"
#include "gullstall/src/mesh/quota_keeper.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using mesh::mesh_turn;
using mesh::write_line;

namespace {

/// Interval between checks for idle and slow connections.
constexpr duration sweep_interval = milliseconds(250);

/// Interval of the ticks once the process has only to answer what had arrived before its end.
constexpr duration last_tick_interval = milliseconds(20);

/// The process exits this long before the stop timeout, whether or not work remains.
constexpr duration stop_margin = milliseconds(300);

endpoint checked_endpoint(const std::string &text)
{
    result<endpoint> read = parse_endpoint(text);
    return succeeded(read) ? value_of(read) : endpoint{};  // the settings have been validated
}

asio::ip::tcp::endpoint listen_endpoint(const std::string &text)
{
    return runtime::tcp_endpoint(checked_endpoint(text));
}

/// Endpoint of the local upstream; default-constructed and unused when none is
/// configured.
asio::ip::tcp::endpoint upstream_endpoint(const mesh::mesh_settings &settings)
{
    return settings.upstream.endpoint.empty() ? asio::ip::tcp::endpoint()
                                              : listen_endpoint(settings.upstream.endpoint);
}

std::vector<std::string_view> authorization_fields(const boost::beast::http::fields &fields)
{
    std::vector<std::string_view> out;
    auto range = fields.equal_range(boost::beast::http::field::authorization);
    for (auto it = range.first; it != range.second; ++it) {
        out.emplace_back(it->value().data(), it->value().size());
    }
    return out;
}

std::string_view header_value(const boost::beast::http::fields &fields, const std::string &name)
{
    auto value = fields[name];
    return {value.data(), value.size()};
}

}  // namespace

mesh_daemon::mesh_daemon(asio::io_context &io, const mesh::mesh_settings &settings,
                         platform_bindings dialect, std::uint64_t incarnation, std::uint64_t seed,
                         const mesh::mesh_features &features)
    : io_(io),
      settings_(settings),
      dialect_(std::move(dialect)),
      node_(mesh::make_mesh_node(settings, incarnation, seed, now())),
      log_(settings.node.name, settings.log.level, settings.log.lines_per_second),
      callers_(io, listen_endpoint(settings.listen.callers), edge_limits{},
               edge_handlers{
                   [this](call_ref id, edge_request &&it) { on_request(id, std::move(it)); },
                   [this](call_ref id) {
                       step("abandoned request", [&](mesh_turn &t) { abandon_request(t, id); });
                   },
                   exception_reporter("callers"),
                   [this](const connection_loss &it) { report_loss(it); }}),
      metrics_(io, listen_endpoint(settings.listen.metrics), edge_limits{},
               edge_handlers{[this](call_ref id, edge_request &&) {
                                 std::string text = print_metrics(node_, now());
                                 text +=
                                     "# TYPE gullstall_log_lines_dropped_total counter\n"
                                     "gullstall_log_lines_dropped_total " +
                                     std::to_string(log_.dropped()) + "\n" + print_metrics(loop_) +
                                     peers_.print_metrics() + print_cut_requests();
                                 metrics_.respond(id, edge_answer{200,
                                                                  "OK",
                                                                  "Content-Type: text/plain\r\n",
                                                                  {text.begin(), text.end()}});
                             },
                             [](call_ref) {}}),
      upstream_(
          io, upstream_endpoint(settings), dialect_.names,
          [this](run_ref id, mesh::run_result &&result) {
              step("run result",
                   [&](mesh_turn &t) { handle_run_result(t, id, std::move(result)); });
          },
          [this](std::optional<run_ref> id, const mesh::upstream_notice &notice) {
              step("upstream notice", [&](mesh_turn &t) { handle_upstream_notice(t, id, notice); });
          },
          exception_reporter("upstream")),
      peers_(io, listen_endpoint(settings.listen.peers),
             peer_link_handlers{
                 [this](const std::string &to) { return own_hello(node_, to, now()); },
                 [this](const std::string &node) {
                     step("node connected", [&](mesh_turn &t) { handle_node_connected(t, node); });
                 },
                 [this](const std::string &node, const std::string &why,
                        const std::vector<std::uint64_t> &unsent) {
                     log(write_line{write_line::severity::warning,
                                    "members",
                                    "node-lost",
                                    {{"peer", node}, {"why", why}}});
                     step("node lost", [&](mesh_turn &t) { handle_node_lost(t, node, unsent); });
                 },
                 [this](const std::string &node, mesh_wire::frame_message &&frame) {
                     on_node_frame(node, std::move(frame));
                 },
                 [this](mesh::link_ref link, mesh_wire::frame_message &&frame) {
                     on_link_frame(link, std::move(frame));
                 },
                 [this](mesh::link_ref link) {
                     step("link closed", [&](mesh_turn &t) { handle_link_closed(t, link); });
                 },
                 exception_reporter("peers")},
             features.packed_frames),
      expiry_timer_(io),
      tick_timer_(io)
{
    node_.features = features;
    constexpr double response_memory_share = 0.25;
    upstream_.limit_response_memory(
        static_cast<std::size_t>(settings.node.memory_mb * response_memory_share * (1U << 20U)));
    schedule_tick();
}

std::function<void(const std::string &)> mesh_daemon::exception_reporter(const char *at)
{
    return [this, at](const std::string &what) {
        ++node_.counters.exceptions;
        log(write_line{
            write_line::severity::warning, "node", "exception", {{"at", at}, {"what", what}}});
    };
}

void mesh_daemon::report_loss(const connection_loss &it)
{
    cut_requests_[it.why] += it.unanswered;
    log(write_line{write_line::severity::warning,
                   "entry",
                   "connection-closed",
                   {{"why", it.why},
                    {"unanswered", std::to_string(it.unanswered)},
                    {"unread_bytes", std::to_string(it.unread_bytes)}}});
}

std::string mesh_daemon::print_cut_requests() const
{
    std::string out = "# TYPE gullstall_caller_requests_cut_total counter\n";
    for (const auto &[why, n] : cut_requests_) {
        out +=
            "gullstall_caller_requests_cut_total{why=\"" + why + "\"} " + std::to_string(n) + "\n";
    }
    return out;
}

void mesh_daemon::step(const char *doing, const std::function<void(mesh_turn &)> &what)
{
    mesh::mesh_actions out;
    mesh_turn turn{node_, now(), out};
    what(turn);
    for (mesh::mesh_action &it : out) {
        execute(std::move(it));
    }
    schedule_expiry();
    report_hold(record_step(loop_, doing, turn.now, now()));
}

void mesh_daemon::report_hold(const std::optional<loop_hold> &it)
{
    if (it) {
        log(write_line{write_line::severity::warning,
                       "node",
                       "loop-held-up",
                       {{"doing", it->doing}, {"for_ms", std::to_string(to_ms(it->length))}}});
    }
}

void mesh_daemon::execute(mesh::mesh_action &&what)
{
    std::visit(
        [this](auto &it) {
            using kind = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<kind, mesh::answer_caller>) {
                send_response(it.call, std::move(it.answer));
            } else if constexpr (std::is_same_v<kind, mesh::send_to_node>) {
                send_to_node(it);
            } else if constexpr (std::is_same_v<kind, mesh::send_to_link>) {
                peers_.send_to_link(it.link, it.frame);
            } else if constexpr (std::is_same_v<kind, mesh::send_to_links>) {
                peers_.send_to_links(it.links, it.frame);
            } else if constexpr (std::is_same_v<kind, mesh::start_run>) {
                upstream_.start(std::move(it));
            } else if constexpr (std::is_same_v<kind, mesh::cancel_run>) {
                upstream_.cancel(it.run);
            } else if constexpr (std::is_same_v<kind, mesh::upstream_replaced>) {
                upstream_.discard_connections();
            } else if constexpr (std::is_same_v<kind, mesh::probe_upstream>) {
                upstream_.probe([this](mesh::upstream_probe seen) {
                    step("upstream probe", [&](mesh_turn &t) { handle_upstream_probe(t, seen); });
                });
            } else if constexpr (std::is_same_v<kind, mesh::connect_node>) {
                peers_.connect(it.address);
            } else if constexpr (std::is_same_v<kind, mesh::store_chain>) {
                if (save_chain_) {
                    save_chain_(std::move(it));
                }
            } else if constexpr (std::is_same_v<kind, mesh::store_suspects>) {
                if (save_suspects_) {
                    save_suspects_(std::move(it));
                }
            } else if constexpr (std::is_same_v<kind, mesh::store_end>) {
                if (save_end_) {
                    save_end_(std::move(it));
                }
            } else if constexpr (std::is_same_v<kind, mesh::end_kept>) {
                on_end_kept_(it.upstream);
            } else {
                static_assert(std::is_same_v<kind, write_line>, "unhandled action type");
                log_.write(it);
            }
        },
        what);
}

void mesh_daemon::send_to_node(const mesh::send_to_node &order)
{
    const mesh_wire::call_message *call = order.frame.payload.Ascall();
    if (peers_.send_to_node(order.node, order.frame) || call == nullptr) {
        return;
    }
    // The call was not sent. Report it as not started, so that it is retried on
    // another node, from a later event loop iteration, because the node is in the
    // middle of a step.
    std::uint64_t correlation = call->correlation;
    asio::post(io_, [this, node = order.node, correlation] {
        mesh_wire::reply_message reply;
        reply.correlation = correlation;
        reply.outcome = mesh_wire::outcome::not_started;
        reply.reason = mesh_wire::reason::unreachable;
        step("reply", [&](mesh_turn &t) { handle_reply(t, node, reply); });
    });
}

void mesh_daemon::on_request(call_ref id, edge_request &&it)
{
    mesh::caller_request request;
    request.request_id = std::string(header_value(it.fields, dialect_.names.request_id));
    request.host = std::string(it.fields[boost::beast::http::field::host]);
    request.method = std::move(it.method);
    request.target = std::move(it.target);
    request.body = std::move(it.body);
    request.time_left = parse_time_left(header_value(it.fields, dialect_.names.time_left_ms));
    if (request.request_id.empty()) {
        callers_.respond(id, http_error(400));
        return;
    }
    // Headers that this node sets itself must not be accepted from the caller.
    it.fields.erase(dialect_.names.time_left_ms);
    it.fields.erase(dialect_.names.expected_upstream);
    it.fields.erase(dialect_.names.caller_service);
    it.fields.erase(dialect_.names.customer);
    if (node_.policy && has_customers(*node_.policy)) {
        request.credentials = read_credentials(authorization_fields(it.fields));
        it.fields.erase(boost::beast::http::field::authorization);
    }
    request.header_lines = end_to_end_lines(it.fields);
    step("request", [&](mesh_turn &t) { handle_request(t, id, std::move(request)); });
}

void mesh_daemon::send_response(call_ref id, mesh::caller_answer &&answer)
{
    callers_.respond(id, to_http_response(std::move(answer)));
}

void mesh_daemon::on_node_frame(const std::string &node, mesh_wire::frame_message &&frame)
{
    if (mesh_wire::reply_message *reply = frame.payload.Asreply()) {
        step("reply", [&](mesh_turn &t) { handle_reply(t, node, *reply); });
    } else if (const mesh_wire::node_status_message *status = frame.payload.Asnode_status()) {
        step("status", [&](mesh_turn &t) { handle_status(t, *status); });
    } else if (const mesh_wire::status_batch_message *batch = frame.payload.Asstatus_batch()) {
        step("status batch", [&](mesh_turn &t) { handle_status_batch(t, node, *batch); });
    } else if (const mesh_wire::chain_news_message *news = frame.payload.Aschain_news()) {
        step("chain news", [&](mesh_turn &t) { handle_chain_news(t, *news); });
    } else if (const mesh_wire::crash_news_message *crash = frame.payload.Ascrash_news()) {
        step("crash news", [&](mesh_turn &t) { handle_crash_news(t, node, *crash); });
    } else if (const mesh_wire::quota_grant_message *grant = frame.payload.Asquota_grant()) {
        step("quota grant", [&](mesh_turn &t) { handle_quota_grant(t, node, *grant); });
    } else if (const auto *remembered = frame.payload.Asend_remembered()) {
        step("end remembered", [&](mesh_turn &t) { handle_end_remembered(t, node, *remembered); });
    } else if (const mesh_wire::policy_content_message *it = frame.payload.Aspolicy_content()) {
        update_policy(std::string(it->content.begin(), it->content.end()),
                      mesh::policy_source::peer);
    }
}

void mesh_daemon::on_link_frame(mesh::link_ref link, mesh_wire::frame_message &&frame)
{
    if (mesh_wire::call_message *call = frame.payload.Ascall()) {
        step("call", [&](mesh_turn &t) { handle_call(t, link, std::move(*call)); });
    } else if (const mesh_wire::cancel_message *it = frame.payload.Ascancel()) {
        step("cancel", [&](mesh_turn &t) { handle_cancel(t, link, it->correlation); });
    } else if (const mesh_wire::hello_message *hello = frame.payload.Ashello()) {
        step("hello", [&](mesh_turn &t) { handle_hello(t, link, *hello); });
    } else if (const mesh_wire::quota_ask_message *ask = frame.payload.Asquota_ask()) {
        step("quota ask", [&](mesh_turn &t) { handle_quota_ask(t, link, *ask); });
    } else if (const mesh_wire::end_notice_message *end = frame.payload.Asend_notice()) {
        step("end notice", [&](mesh_turn &t) { handle_end_notice(t, link, *end); });
    } else if (frame.payload.Asping() != nullptr) {
        step("ping", [&](mesh_turn &t) { handle_ping(t, link); });
    } else if (frame.payload.Aspolicy_fetch() != nullptr) {
        step("policy fetch", [&](mesh_turn &t) { handle_policy_fetch(t, link); });
    }
}

mesh::heartbeat_verdict mesh_daemon::heartbeat(const mesh::upstream_heartbeat &beat)
{
    mesh::heartbeat_verdict verdict{};
    step("heartbeat", [&](mesh_turn &t) { verdict = handle_heartbeat(t, beat); });
    return verdict;
}

void mesh_daemon::remove_upstream(const std::string &upstream)
{
    step("leave", [&](mesh_turn &t) { handle_leave(t, upstream, unix_ms()); });
}

void mesh_daemon::log(const write_line &line)
{
    log_.write(line);
}

void mesh_daemon::apply_limits(const mesh::mesh_settings &settings)
{
    for (mesh::mesh_settings *it : {&settings_, &node_.settings}) {
        it->limits = settings.limits;
        it->stop_time = settings.stop_time;
    }
}

void mesh_daemon::stop()
{
    if (!stop_requested_at_) {
        stop_requested_at_ = now();
        step("stop", [](mesh_turn &t) { stop_node(t); });
    }
}

bool mesh_daemon::is_ready() const
{
    return mesh::is_ready(node_, now());
}

void mesh_daemon::schedule_expiry()
{
    std::optional<time_point> next = next_expiry(node_);
    // An early timer is harmless: its handler reschedules. Resetting the timer on
    // every request would cost one system call each.
    if (!next || (expiry_at_ && *expiry_at_ <= *next)) {
        return;
    }
    expiry_at_ = next;
    expiry_timer_.expires_after(std::max(duration{}, *next - now()));
    expiry_timer_.async_wait([this](const boost::system::error_code &ec) {
        if (ec) {
            return;
        }
        expiry_at_.reset();
        step("expiry", [](mesh_turn &t) {
            expire_calls(t);
            expire_runs(t);
        });
    });
}

void mesh_daemon::schedule_tick()
{
    bool is_ending = draining_ && !callers_.is_listening();
    tick_timer_.expires_after(is_ending ? last_tick_interval : mesh::mesh_tick_interval);
    tick_timer_.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            tick();
            schedule_tick();
        }
    });
}

void mesh_daemon::tick()
{
    time_point at = now();
    report_hold(record_tick(loop_, at));
    step("tick", [](mesh_turn &t) { members_tick(t); });
    peers_.tick(at);
    log_.tick(at);
    if (at - last_sweep_at_ >= sweep_interval) {
        last_sweep_at_ = at;
        callers_.sweep(at);
        metrics_.sweep(at);
        upstream_.sweep(at);
    }
    if (!draining_ && is_entry_closed(node_, at)) {
        draining_ = true;
        callers_.start_draining();
    }
    if (draining_ && callers_.is_listening() && !has_open_work()) {
        callers_.stop_listening();
    } else if (has_stopped(at)) {
        log(write_line{write_line::severity::info,
                       "node",
                       "stopped",
                       {{"unanswered", std::to_string(callers_.count_unanswered())},
                        {"calls", std::to_string(node_.calls.size())},
                        {"runs", std::to_string(node_.runs.size())}}});
        log_.tick(at);
        io_.stop();
    }
}

bool mesh_daemon::has_open_work() const
{
    return callers_.has_work() || !node_.calls.empty() || !node_.runs.empty() ||
           peers_.has_unsent();
}

bool mesh_daemon::has_stopped(time_point now) const
{
    if (!stop_requested_at_) {
        return false;
    }
    duration passed = now - *stop_requested_at_;
    bool is_empty = draining_ && !callers_.is_listening() && !has_open_work();
    return is_empty || passed >= settings_.stop_time - stop_margin;
}

}  // namespace gullstall::edge
