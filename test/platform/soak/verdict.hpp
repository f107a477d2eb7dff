#ifndef GULLSTALL_TEST_PLATFORM_SOAK_VERDICT_HPP
#define GULLSTALL_TEST_PLATFORM_SOAK_VERDICT_HPP

#include "test/platform/soak/client.hpp"

namespace gullstall::standin {

/// A SIGTERM to a node's process and its end.
struct stop_record
{
    std::size_t node = 0;
    time_point asked_at;
    time_point ended_at;
    bool was_killed = false;  ///< by SIGKILL, after the stop time
    bool had_begun =
        true;        ///< its program ran: a signal to a process that has not is the end of it
    int status = 0;  ///< of the process, as waitpid() has it
};

/// What was seen of a soak.
struct soak_record
{
    request_log requests;
    run_book runs;
    std::vector<stop_record> stops;
    std::vector<std::string> unexpected_ends;  ///< of processes that were not told to stop
};

/// Broken promises of the nodes, each with a line that tells the case.
struct soak_faults
{
    std::vector<std::string> lost;        ///< accepted, and the connection ended without an answer
    std::vector<std::string> twice;       ///< not to be repeated, and ran more than once
    std::vector<std::string> refused;     ///< told that it has not run, and it has
    std::vector<std::string> mixed;       ///< an answer that is not the upstream's whole answer
    std::vector<std::string> broken_off;  ///< own answer of a stopping node beside a run
    std::vector<std::string> processes;   ///< ended by themselves, or had to be killed
    std::vector<std::string> crossed;     ///< no fault: sent while the connection was closed

    /// \returns the number of faults
    std::size_t count() const;
};

soak_faults find_faults(const soak_record &it);

/// \returns counts of answers by status and of the ways in which requests ended
std::string summarize(const soak_record &it);

}  // namespace gullstall::standin

#endif
