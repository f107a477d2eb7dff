#ifndef GULLSTALL_BUNDLE_DIFF_HPP
#define GULLSTALL_BUNDLE_DIFF_HPP

#include <string>
#include <string_view>
#include <vector>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// One key in which two bundles differ; an empty value means that the key is
/// not set there.
struct bundle_difference
{
    std::string section;  ///< "limits" or "call SERVICE OPERATION"
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const bundle_difference &) const = default;
};

/// Compares the INI texts of two bundles key by key.
/// \returns the differences, sorted by section and key, or what parse_ini finds
result<std::vector<bundle_difference>> diff_bundles(std::string_view before,
                                                    std::string_view after);

/// \returns "[section] key: before -> after"
std::string print_difference(const bundle_difference &it);

}  // namespace gullstall

#endif
