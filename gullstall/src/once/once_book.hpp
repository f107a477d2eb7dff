#ifndef GULLSTALL_ONCE_ONCE_BOOK_HPP
#define GULLSTALL_ONCE_ONCE_BOOK_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/once/claim.hpp"
#include "gullstall/src/once/claim_writer.hpp"
#include "gullstall/src/once/key.hpp"

namespace gullstall {

/// One attempt of a caller to have the call of a key run.
struct once_ticket
{
    call_ref call;
    std::uint32_t attempt;  ///< of the caller with this key, from 1; 0: not told
    std::string digest;
    time_point deadline;
};

/// Where a node stands with one key.
enum class once_phase
{
    idle,      ///< nothing goes on; the row is known, or no attempt is left
    claiming,  ///< the claim is being written
    running,   ///< this node holds the claim and runs the call
    settling,  ///< the outcome is being written
    waiting    ///< another node holds the claim; its row is read again
};

/// What a node knows of one key.
struct once_entry
{
    once_phase phase = once_phase::idle;
    bool issued = false;            ///< issued by this node: needs no table
    std::optional<claim_row> row;   ///< as last seen or written
    std::uint64_t row_version = 0;  ///< 0: the table holds no row
    std::optional<once_ticket> owner;
    std::vector<once_ticket> joined;
    std::uint32_t highest_attempt = 0;  ///< among those that this node took since the claim
    time_point read_at{};
    duration read_pause{};
    time_point forget_at{};
};

/// How a call of the owner ended.
struct once_end
{
    wire::outcome outcome;
    std::uint16_t status;
    std::string content_type;
    std::vector<std::uint8_t> body;
    wire::refusal refusal = wire::refusal::none;
};

/// What the book asks of the node.
struct once_order
{
    enum class kind
    {
        run,       ///< hand the call to an upstream: the claim is held
        remember,  ///< answer from \a row
        refuse     ///< answer with \a outcome and \a refusal
    };
    kind what;
    call_ref call;
    wire::outcome outcome = wire::outcome::unknown;
    wire::refusal refusal = wire::refusal::none;
    claim_row row;
};

using once_orders = std::vector<once_order>;

/// Switches that only tests turn off, to see the violation that each prevents.
struct once_guards
{
    bool claim_before_run = true;  ///< a chosen key runs only under its row
    bool issuer_only = true;       ///< an issued key runs only at its node and incarnation
    bool refuse_expired = true;    ///< a key older than its memory is refused
    bool order_attempts = true;    ///< a released key is not run by an earlier attempt
    bool doubt_repeats = true;     ///< a repeat is told `not run` only by who can know
};

/// All that a node knows of the keys of non-idempotent calls.
struct once_book
{
    std::string instance;
    std::uint64_t incarnation = 0;
    duration memory = seconds(600);  ///< age at which a key expires
    std::map<std::string, once_entry> entries;
    std::map<call_ref, std::string> keys;  ///< key of each call that waits or runs
    claim_writer writer;
    std::multimap<time_point, std::string> forget_queue;
    std::uint64_t last_number = 0;  ///< of issued keys
    std::uint64_t last_token = 0;
    once_guards guards;
};

/// \returns a fresh key that this node remembers until it expires
std::string issue_key(once_book &it, time_point now);

/// \returns whether an attempt that came to no claim can be told `not run`:
/// only when the caller says that it sent no attempt before
bool knows_not_run(const once_book &it, const std::string &key, std::uint32_t attempt);

/// Takes an attempt.
void take_ticket(once_book &it, const std::string &key, once_ticket ticket, time_point now,
                 once_orders &out);

/// \returns whether \a call is the one that runs under a claim of this node
bool holds_claim(const once_book &it, call_ref call);

/// Notes that a call has its answer. The owner's end becomes the key's outcome.
void end_ticket(once_book &it, call_ref call, const once_end &end, time_point now,
                once_orders &out);

/// Takes the answer to a commit of the writer.
void take_claim_answer(once_book &it, std::uint64_t batch, const platform_answer &answer,
                       time_point now, once_orders &out);

/// \returns the rows to read again now, none when there are none
std::optional<table_read> next_claim_read(once_book &it, time_point now);

/// Takes the answer to a read of the rows of \a asked.
void take_claim_rows(once_book &it, const table_read &asked, const platform_answer &answer,
                     time_point now, once_orders &out);

/// Forgets keys that have expired.
void forget_keys(once_book &it, time_point now);

}  // namespace gullstall

#endif
