#ifndef GULLSTALL_MESH_MESH_SETTINGS_HPP
#define GULLSTALL_MESH_MESH_SETTINGS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_config_generated.h"
#include "gullstall/settings.hpp"

namespace gullstall::mesh {

/// Effective settings of a node that discovers its peers through the platform's store.
struct mesh_settings
{
    gullstall::mesh_config::node_section_values node;
    gullstall::mesh_config::listen_section_values listen;
    gullstall::mesh_config::upstream_section_values upstream;
    gullstall::mesh_config::store_section_values store;
    gullstall::mesh_config::limits_section_values limits;
    gullstall::mesh_config::log_section_values log;
    duration stop_time = seconds(6);  ///< limits.stop_s

    std::vector<std::string> ignored_values;  ///< errors of entries whose default is used

    bool operator==(const mesh_settings &) const = default;
};

/// What to do about an optional limit that can't be read.
enum class bad_value_policy
{
    reject,       ///< the text is rejected
    use_defaults  ///< the default is used and the error kept in ignored_values
};

/// Parses the settings.
/// \param name of the text in error messages, usually a file name
/// \returns the settings, or an error with file, line, key, found value and allowed range
result<mesh_settings> parse_mesh_settings(const std::string &name, std::string_view text,
                                          bad_value_policy bad_values = bad_value_policy::reject);

/// \returns the effective settings as INI text
std::string print_mesh_settings(const mesh_settings &it);

}  // namespace gullstall::mesh

#endif
