#ifndef GULLSTALL_RUNTIME_HTTP_STATUS_HPP
#define GULLSTALL_RUNTIME_HTTP_STATUS_HPP

namespace gullstall::runtime {

/// Interim responses that a client skips before the final one.
inline constexpr int max_interim_responses = 4;

/// \returns whether the status is of a response before the final one. The one that switches
/// protocols isn't: nothing that is HTTP follows it, and no request asks for it.
constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101;
    return status >= 100 && status < 200 && status != switching_protocols;
}

/// \returns whether the status is of a final response; HTTP has none from 600 on
constexpr bool is_final_status(unsigned status)
{
    return status >= 200 && status < 600;
}

}  // namespace gullstall::runtime

#endif
