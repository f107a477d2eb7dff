#ifndef GULLSTALL_MEMBERSHIP_CONTACT_ROWS_HPP
#define GULLSTALL_MEMBERSHIP_CONTACT_ROWS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/core/time.hpp"
#include "gullstall/src/membership/member_table.hpp"

namespace gullstall {

/// Rows of each zone in the table that name members for first contact.
constexpr std::size_t contact_rows_per_zone = 2;

/// When this node next uses the table, and what it knows of its worker.
struct contact_turns
{
    time_point next_turn{};
    time_point next_search{};    ///< while the node knows nobody
    std::uint32_t searches = 0;  ///< in a row that brought no contact
    bool asked = false;          ///< a scan is under way
    time_point last_step{};
    bool checking_worker = false;  ///< a check_worker is under way
    bool worker_silent = false;    ///< the own worker takes no connections
    time_point next_check{};
};

/// \returns the key of a contact row
std::string contact_row_key(const std::string &zone, std::size_t slot);

/// \returns the value of a contact row that names \a members
std::string encode_contacts(const std::vector<member> &members);

/// Reads the value of a contact row, or bad_syntax.
result<std::vector<member>> decode_contacts(std::string_view bytes);

/// Who writes and reads the rows takes turns, so that the table's load does not
/// grow with the number of nodes and no node has to be elected: in each term
/// the members of a zone stand in an order drawn from a hash of name and term.
/// Views that differ cost a conflict between two writers and nothing else.
/// \returns the row that \a self writes in \a term, none when it is not its turn
std::optional<std::size_t> turn_of(const member_table &view, const std::string &self,
                                   std::uint64_t term);

}  // namespace gullstall

#endif
