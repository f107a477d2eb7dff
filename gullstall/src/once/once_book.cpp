#include "gullstall/src/once/once_book.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Largest difference between the clocks of two nodes or of a node and a
/// caller. A key is refused this much before any row of it may be removed.
constexpr duration clock_margin = seconds(5);
constexpr duration first_read_pause = milliseconds(20);
constexpr duration longest_read_pause = milliseconds(500);

std::uint64_t to_us(time_point when)
{
    return static_cast<std::uint64_t>(when.time_since_epoch().count());
}

void refuse(once_orders &out, call_ref call, wire::outcome outcome, wire::refusal why)
{
    out.push_back(once_order{once_order::kind::refuse, call, outcome, why, {}});
}

void refuse_by_attempt(const once_book &it, const std::string &key, const once_ticket &ticket,
                       wire::refusal why, once_orders &out)
{
    bool knows = knows_not_run(it, key, ticket.attempt);
    refuse(out, ticket.call, knows ? wire::outcome::not_run : wire::outcome::unknown, why);
}

/// Takes all attempts out of the entry, the owner first.
std::vector<once_ticket> take_all(once_book &it, once_entry &entry)
{
    std::vector<once_ticket> out = std::move(entry.joined);
    entry.joined.clear();
    if (entry.owner) {
        out.insert(out.begin(), std::move(*entry.owner));
        entry.owner.reset();
    }
    for (const once_ticket &ticket : out) {
        it.keys.erase(ticket.call);
    }
    return out;
}

/// Answers an attempt from a row that holds the key's outcome.
void answer_from_row(const claim_row &row, const once_ticket &ticket, once_orders &out)
{
    if (row.digest != ticket.digest) {
        // The key's rows keep the digest of its first request for good, so a
        // request with another body never runs under it.
        refuse(out, ticket.call, wire::outcome::not_run, wire::refusal::key_mismatch);
        return;
    }
    out.push_back(once_order{once_order::kind::remember, ticket.call, wire::outcome::unknown,
                             wire::refusal::none, row});
}

bool may_claim_released(const once_book &it, const claim_row &row, const once_ticket &ticket)
{
    // An attempt that lay in a paused node while a later one was told `not run`
    // would make that answer false by running now.
    return row.digest == ticket.digest &&
           (!it.guards.order_attempts || ticket.attempt == 0 || ticket.attempt > row.attempt);
}

void remember_until(once_book &it, const std::string &key, once_entry &entry, time_point when)
{
    entry.forget_at = when;
    it.forget_queue.emplace(when, key);
}

claim_row make_claim(once_book &it, const once_ticket &owner)
{
    claim_row out;
    out.state = wire::claim_state::claimed;
    out.token =
        it.instance + ":" + std::to_string(it.incarnation) + ":" + std::to_string(++it.last_token);
    out.digest = owner.digest;
    out.attempt = owner.attempt;
    out.give_up_us = to_us(owner.deadline);
    return out;
}

void start_owner(once_entry &entry, once_orders &out)
{
    entry.phase = once_phase::running;
    out.push_back(once_order{
        once_order::kind::run, entry.owner->call, wire::outcome::unknown, wire::refusal::none, {}});
}

void begin_claim(once_book &it, const std::string &key, once_entry &entry, once_orders &out)
{
    claim_row row = make_claim(it, *entry.owner);
    if (entry.row) {
        entry.highest_attempt = std::max(entry.highest_attempt, entry.row->attempt);
    }
    if (entry.issued || !it.guards.claim_before_run) {
        entry.row = std::move(row);
        start_owner(entry, out);
        return;
    }
    entry.phase = once_phase::claiming;
    claim_write write;
    write.expected_version = entry.row_version;
    write.row = std::move(row);
    write.give_up_at = entry.forget_at;
    order_write(it.writer, key, std::move(write));
}

void wait_for_holder(once_entry &entry, time_point now)
{
    entry.phase = once_phase::waiting;
    entry.read_pause = std::clamp(entry.read_pause * 2, first_read_pause, longest_read_pause);
    entry.read_at = now + entry.read_pause;
}

/// Chooses the attempt that claims a key which no node holds; those that may
/// not are answered.
void choose_owner(once_book &it, const std::string &key, once_entry &entry, time_point now,
                  once_orders &out)
{
    entry.phase = once_phase::idle;
    for (once_ticket &ticket : take_all(it, entry)) {
        if (entry.row && !may_claim_released(it, *entry.row, ticket)) {
            answer_from_row(*entry.row, ticket, out);
        } else if (ticket.deadline <= now) {
            // Its holder was paused past the deadline and has not handed it on.
            refuse_by_attempt(it, key, ticket, wire::refusal::deadline, out);
        } else if (!entry.owner) {
            it.keys[ticket.call] = key;
            entry.owner = std::move(ticket);
        } else {
            it.keys[ticket.call] = key;
            entry.joined.push_back(std::move(ticket));
        }
    }
    if (entry.owner) {
        begin_claim(it, key, entry, out);
    }
}

/// Acts on what is known of the key's row.
void act_on_row(once_book &it, const std::string &key, once_entry &entry, time_point now,
                once_orders &out)
{
    if (!entry.row || entry.row->state == wire::claim_state::released) {
        choose_owner(it, key, entry, now, out);
        return;
    }
    bool held = entry.row->state == wire::claim_state::claimed;
    if (held && to_us(now) < entry.row->give_up_us +
                                 static_cast<std::uint64_t>(duration(clock_margin).count())) {
        if (entry.joined.empty() && !entry.owner) {
            entry.phase = once_phase::idle;
            return;
        }
        wait_for_holder(entry, now);
        return;
    }
    entry.phase = once_phase::idle;
    for (const once_ticket &ticket : take_all(it, entry)) {
        answer_from_row(*entry.row, ticket, out);
    }
}

/// Makes the owner's end the row of the key.
void set_outcome(once_entry &entry, const once_end &end)
{
    claim_row row = *entry.row;
    row.attempt = entry.highest_attempt;
    row.refusal = end.refusal;
    switch (end.outcome) {
        case wire::outcome::ran:
            row.state = wire::claim_state::ran;
            row.status = end.status;
            row.content_type = end.content_type;
            row.body_kept = end.body.size() <= max_kept_body_bytes;
            if (row.body_kept) {
                row.body = end.body;
            }
            break;
        case wire::outcome::not_run:
            row.state = wire::claim_state::released;
            break;
        case wire::outcome::unknown:
            row.state = wire::claim_state::unknown;
            break;
    }
    entry.row = std::move(row);
}

void write_outcome(once_book &it, const std::string &key, once_entry &entry)
{
    if (entry.issued || !it.guards.claim_before_run) {
        entry.phase = once_phase::idle;
        return;
    }
    entry.phase = once_phase::settling;
    claim_write write;
    write.expected_version = entry.row_version;
    write.row = *entry.row;
    write.give_up_at = entry.forget_at;
    order_write(it.writer, key, std::move(write));
}

void end_owner(once_book &it, const std::string &key, once_entry &entry, const once_end &end,
               once_orders &out)
{
    set_outcome(entry, end);
    for (const once_ticket &ticket : take_all(it, entry)) {
        answer_from_row(*entry.row, ticket, out);
    }
    write_outcome(it, key, entry);
}

/// The own claim is written.
void on_claimed(once_book &it, const std::string &key, once_entry &entry, time_point now,
                once_orders &out)
{
    if (!entry.owner && !entry.joined.empty()) {
        entry.owner = std::move(entry.joined.front());
        entry.joined.erase(entry.joined.begin());
    }
    if (entry.owner && now < entry.owner->deadline && entry.owner->digest == entry.row->digest) {
        start_owner(entry, out);
        return;
    }
    // Everyone has left, or the node was paused past the deadline: nothing was
    // handed on, so the claim is given back.
    end_owner(it, key, entry, once_end{wire::outcome::not_run, 0, "", {}, wire::refusal::deadline},
              out);
}

void on_written(once_book &it, const claim_verdict &verdict, once_entry &entry, time_point now,
                once_orders &out)
{
    entry.row = verdict.row;
    entry.row_version = verdict.version;
    if (entry.phase == once_phase::claiming) {
        on_claimed(it, verdict.key, entry, now, out);
        return;
    }
    act_on_row(it, verdict.key, entry, now, out);
}

void refuse_all(once_book &it, const std::string &key, once_entry &entry, wire::refusal why,
                once_orders &out)
{
    for (const once_ticket &ticket : take_all(it, entry)) {
        refuse_by_attempt(it, key, ticket, why, out);
    }
}

void on_verdict(once_book &it, claim_verdict &verdict, time_point now, once_orders &out)
{
    auto found = it.entries.find(verdict.key);
    if (found == it.entries.end()) {
        return;
    }
    once_entry &entry = found->second;
    switch (verdict.what) {
        case claim_verdict::kind::written:
            on_written(it, verdict, entry, now, out);
            break;
        case claim_verdict::kind::found:
            entry.row = std::move(verdict.row);
            entry.row_version = verdict.version;
            act_on_row(it, verdict.key, entry, now, out);
            break;
        case claim_verdict::kind::gone:
            refuse_all(it, verdict.key, entry, wire::refusal::key_expired, out);
            entry.phase = once_phase::idle;
            break;
        case claim_verdict::kind::unavailable:
            refuse_all(it, verdict.key, entry, wire::refusal::platform_unavailable, out);
            entry.phase = once_phase::idle;
            break;
        case claim_verdict::kind::unsettled:
            refuse_all(it, verdict.key, entry, wire::refusal::platform_unavailable, out);
            break;
    }
}

/// \returns why an issued key is refused, none when this node runs it
std::optional<wire::refusal> check_issued(const once_book &it, const std::string &key,
                                          time_point now)
{
    std::optional<issued_key> parts = parse_issued_key(key);
    if (!parts) {
        return wire::refusal::bad_request;
    }
    if (it.guards.refuse_expired && now >= parts->issued_at + it.memory) {
        return wire::refusal::key_expired;
    }
    bool own = parts->instance == it.instance && parts->incarnation == it.incarnation;
    if (!own && it.guards.issuer_only) {
        // What the issuer has run died with its incarnation, or is known only
        // there: running it here could be the second time.
        return wire::refusal::key_elsewhere;
    }
    if (own && it.entries.count(key) == 0) {
        return wire::refusal::bad_request;  // this incarnation has not issued it
    }
    return std::nullopt;
}

std::optional<wire::refusal> check_chosen(const once_book &it, const std::string &key,
                                          time_point now)
{
    std::optional<time_point> made = time_of_chosen_key(key);
    if (!made) {
        return std::nullopt;  // without a date its row is never removed
    }
    if (it.guards.refuse_expired && now >= *made + it.memory) {
        return wire::refusal::key_expired;
    }
    if (*made > now + clock_margin) {
        return wire::refusal::bad_request;
    }
    return std::nullopt;
}

/// \returns the entry of a key, made when it is new
once_entry &open_entry(once_book &it, const std::string &key, time_point now)
{
    auto [found, fresh] = it.entries.try_emplace(key);
    if (fresh) {
        found->second.issued = is_issued_key(key);
        remember_until(it, key, found->second, now + it.memory + clock_margin);
    }
    return found->second;
}

/// Acts on an attempt that has joined the entry.
void act_on_arrival(once_book &it, const std::string &key, once_entry &entry, time_point now,
                    once_orders &out)
{
    if (entry.phase == once_phase::idle) {
        if (entry.row && entry.row->state == wire::claim_state::claimed) {
            // What was last read may be out of date: the holder may have ended.
            entry.phase = once_phase::waiting;
            entry.read_pause = {};
            entry.read_at = now;
            return;
        }
        act_on_row(it, key, entry, now, out);
    } else if (entry.phase == once_phase::settling &&
               entry.row->state != wire::claim_state::released) {
        for (const once_ticket &ticket : take_all(it, entry)) {
            answer_from_row(*entry.row, ticket, out);
        }
    }
}

}  // namespace

std::string issue_key(once_book &it, time_point now)
{
    std::string key =
        print_issued_key(issued_key{it.instance, it.incarnation, ++it.last_number, now});
    open_entry(it, key, now);
    return key;
}

bool knows_not_run(const once_book &it, const std::string &key, std::uint32_t attempt)
{
    return key.empty() || attempt == 1 || !it.guards.doubt_repeats;
}

void take_ticket(once_book &it, const std::string &key, once_ticket ticket, time_point now,
                 once_orders &out)
{
    if (key.empty()) {
        refuse(out, ticket.call, wire::outcome::not_run, wire::refusal::bad_request);
        return;
    }
    auto why = is_issued_key(key) ? check_issued(it, key, now) : check_chosen(it, key, now);
    if (why) {
        refuse_by_attempt(it, key, ticket, *why, out);
        return;
    }
    once_entry &entry = open_entry(it, key, now);
    if (entry.row && entry.row->digest != ticket.digest) {
        refuse(out, ticket.call, wire::outcome::not_run, wire::refusal::key_mismatch);
        return;
    }
    entry.highest_attempt = std::max(entry.highest_attempt, ticket.attempt);
    it.keys[ticket.call] = key;
    entry.joined.push_back(std::move(ticket));
    act_on_arrival(it, key, entry, now, out);
}

bool holds_claim(const once_book &it, call_ref call)
{
    auto key = it.keys.find(call);
    if (key == it.keys.end()) {
        return false;
    }
    const once_entry &entry = it.entries.at(key->second);
    return entry.phase == once_phase::running && entry.owner && entry.owner->call == call;
}

void end_ticket(once_book &it, call_ref call, const once_end &end, time_point now, once_orders &out)
{
    (void)now;
    auto found = it.keys.find(call);
    if (found == it.keys.end()) {
        return;
    }
    std::string key = found->second;
    once_entry &entry = it.entries.at(key);
    bool owns = entry.owner && entry.owner->call == call;
    it.keys.erase(found);
    if (!owns) {
        std::erase_if(entry.joined, [&](const once_ticket &t) { return t.call == call; });
        return;
    }
    entry.owner.reset();
    if (entry.phase == once_phase::running) {
        end_owner(it, key, entry, end, out);
    }
}

void take_claim_answer(once_book &it, std::uint64_t batch, const platform_answer &answer,
                       time_point now, once_orders &out)
{
    for (claim_verdict &verdict : take_commit_answer(it.writer, batch, answer, now)) {
        on_verdict(it, verdict, now, out);
    }
}

std::optional<table_read> next_claim_read(once_book &it, time_point now)
{
    table_read out;
    for (auto &[call, key] : it.keys) {
        once_entry &entry = it.entries.at(key);
        if (entry.phase == once_phase::waiting && now >= entry.read_at) {
            entry.read_at = now + longest_read_pause;  // until the answer is here
            out.keys.push_back(claim_row_prefix + key);
        }
    }
    if (out.keys.empty()) {
        return std::nullopt;
    }
    return out;
}

void take_claim_rows(once_book &it, const table_read &asked, const platform_answer &answer,
                     time_point now, once_orders &out)
{
    (void)asked;
    for (const table_row &row : answer.rows) {
        auto found = it.entries.find(row.key.substr(std::string_view(claim_row_prefix).size()));
        if (found == it.entries.end() || found->second.phase != once_phase::waiting ||
            row.version < found->second.row_version) {
            continue;  // settled meanwhile, or a stale read
        }
        result<claim_row> read = decode_claim(row.value);
        if (succeeded(read)) {
            found->second.row = value_of(std::move(read));
            found->second.row_version = row.version;
        }
    }
    for (const std::string &row_key : asked.keys) {
        std::string key = row_key.substr(std::string_view(claim_row_prefix).size());
        auto found = it.entries.find(key);
        if (found != it.entries.end() && found->second.phase == once_phase::waiting) {
            act_on_row(it, key, found->second, now, out);
        }
    }
}

void forget_keys(once_book &it, time_point now)
{
    while (!it.forget_queue.empty() && it.forget_queue.begin()->first <= now) {
        std::string key = std::move(it.forget_queue.begin()->second);
        it.forget_queue.erase(it.forget_queue.begin());
        auto found = it.entries.find(key);
        if (found == it.entries.end() || found->second.forget_at > now) {
            continue;
        }
        if (found->second.owner || !found->second.joined.empty()) {
            remember_until(it, key, found->second, now + clock_margin);
            continue;
        }
        it.entries.erase(found);
    }
}

}  // namespace gullstall
