#include "gullstall/src/node/internal.hpp"

namespace gullstall {

namespace {

using internal::step_context;

void on_frame(step_context &t, wire::frame_message &frame)
{
    merge_clock(t.n.events, frame.clock, t.now);
    switch (frame.payload.type) {
        case wire::payload::call:
            internal::on_call(t, frame.sender, *frame.payload.Ascall());
            break;
        case wire::payload::reply:
            internal::on_reply(t, frame.sender, *frame.payload.Asreply());
            break;
        case wire::payload::cancel:
            internal::on_cancel(t, frame.sender, frame.payload.Ascancel()->correlation);
            break;
        default:
            break;
    }
    internal::on_control_frame(t, frame);
}

void on_tick(step_context &t)
{
    internal::on_level_tick(t);
    internal::expire_calls(t);
    internal::start_waiting_calls(t);
    internal::expire_runs(t);
    internal::on_control_tick(t);
}

struct event_visitor
{
    step_context &t;

    void operator()(call_arrived &e) const
    {
        internal::on_call_arrived(t, e);
    }
    void operator()(key_requested &e) const
    {
        internal::on_key_asked(t, e.call);
    }
    void operator()(call_abandoned &e) const
    {
        internal::on_call_abandoned(t, e.call);
    }
    void operator()(worker_answered &e) const
    {
        internal::on_worker_answered(t, e);
    }
    void operator()(worker_announced &e) const
    {
        internal::on_worker_announced(t, e);
    }
    void operator()(worker_leaving &) const
    {
        internal::on_worker_leaving(t);
    }
    void operator()(frame_arrived &e) const
    {
        on_frame(t, e.frame);
    }
    void operator()(peer_unreachable &e) const
    {
        internal::on_peer_unreachable(t, e);
        internal::on_claim_writer_gone(t, e.instance);
        internal::on_origin_lost(t, e.instance);
        internal::on_member_unreachable(t, e.instance);
    }
    void operator()(platform_answered &e) const
    {
        internal::on_platform_answered(t, e);
    }
    void operator()(admin_requested &e) const
    {
        internal::on_admin_asked(t, e);
    }
    void operator()(stop_requested &) const
    {
        internal::on_stop_requested(t);
    }
    void operator()(worker_checked &e) const
    {
        internal::on_worker_checked(t, e);
    }
    void operator()(tick &) const
    {
        on_tick(t);
    }
};

}  // namespace

result<node> make_node(const node_settings &settings, std::uint64_t incarnation, std::uint64_t seed)
{
    if (settings.node.instance.empty() || settings.worker.slots == 0) {
        return error{error_code::out_of_range, "node: needs an instance name and worker slots"};
    }
    node out;
    out.settings = settings;
    out.incarnation = incarnation;
    // Ids must differ from those of earlier processes: a run requested by an earlier process
    // may still be answered, and its reply would be matched to another call.
    out.last_id = incarnation;
    out.random.seed(seed);
    out.queue.hard_limit = settings.worker.slots;
    out.queue.soft_limit = settings.worker.slots;
    member self;
    self.instance = settings.node.instance;
    self.zone = settings.node.zone;
    self.region = settings.node.region;
    self.service = settings.node.service;
    self.address = settings.listen.address;
    self.port = settings.listen.peers_port;
    self.admin_port = settings.listen.admin_port;
    self.incarnation = incarnation;
    self.state = wire::member_state::leaving;  // until the worker has registered
    out.members.members[self.instance] = self;
    out.idempotency.instance = self.instance;
    out.idempotency.incarnation = incarnation;
    // Batch numbers of an earlier process are lower: a late answer to one of them
    // would otherwise be taken for the answer to a new claim.
    out.idempotency.writer.last_batch = incarnation;
    gossip_limits limits;
    limits.probe_interval = milliseconds(settings.membership.gossip_interval_ms);
    out.gossip = make_gossip(self.instance, out.members, limits);
    return out;
}

actions step(node &it, time_point now, event what)
{
    actions out;
    step_context t{it, now, out};
    internal::on_step_time(t);
    std::visit(event_visitor{t}, what);
    internal::finish_stop(t);
    return out;
}

}  // namespace gullstall
