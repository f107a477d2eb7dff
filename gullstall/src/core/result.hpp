#ifndef GULLSTALL_CORE_RESULT_HPP
#define GULLSTALL_CORE_RESULT_HPP

#include <string>
#include <utility>
#include <variant>

namespace gullstall {

/// Kind of an error, for callers that act on it.
enum class error_code
{
    bad_syntax,
    unknown_name,
    wrong_type,
    out_of_range,
    duplicate,
    missing,
    too_large,
    bad_signature,
    bad_version,
    not_found,
    unavailable,
    conflict
};

/// What went wrong: a code for programs and a sentence for people.
struct error
{
    error_code code;
    std::string message;

    bool operator==(const error &) const = default;
};

/// Outcome of an operation that can fail: its value or an error.
/// \see succeeded, value_of, error_of
template <class T>
using result = std::variant<T, error>;

/// Value of an operation that only succeeds or fails.
struct done
{
    bool operator==(const done &) const = default;
};

/// \returns whether \a r holds a value
template <class T>
bool succeeded(const result<T> &r)
{
    return r.index() == 0;
}

/// \returns the value of \a r; calling it on an error is a broken invariant
template <class T>
T &value_of(result<T> &r)
{
    return std::get<0>(r);
}

template <class T>
const T &value_of(const result<T> &r)
{
    return std::get<0>(r);
}

template <class T>
T value_of(result<T> &&r)
{
    return std::get<0>(std::move(r));
}

/// \returns the error of \a r; calling it on a value is a broken invariant
template <class T>
const error &error_of(const result<T> &r)
{
    return std::get<1>(r);
}

}  // namespace gullstall

#endif
