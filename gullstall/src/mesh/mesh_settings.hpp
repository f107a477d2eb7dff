#ifndef GULLSTALL_MESH_MESH_SETTINGS_HPP
#define GULLSTALL_MESH_MESH_SETTINGS_HPP

#include <string>
#include <string_view>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_config_generated.h"
#include "gullstall/settings.hpp"

namespace gullstall::mesh {

/// Effective settings of a node that finds its peers in the platform's store.
struct mesh_settings
{
    gullstall::mesh_config::node_section_values node;
    gullstall::mesh_config::listen_section_values listen;
    gullstall::mesh_config::upstream_section_values upstream;
    gullstall::mesh_config::store_section_values store;
    gullstall::mesh_config::limits_section_values limits;
    gullstall::mesh_config::log_section_values log;
    duration stop_time = seconds(6);  ///< limits.stop_s
    double retry_ratio = 0.2;         ///< limits.retry_ratio

    bool operator==(const mesh_settings &) const = default;
};

/// Reads the settings.
/// \param name how errors call the text, usually its file
/// \returns the settings, or an error with file, line, key, what was found and
/// what is allowed
result<mesh_settings> parse_mesh_settings(const std::string &name, std::string_view text);

/// \returns \a it as INI text, every effective value included
std::string print_mesh_settings(const mesh_settings &it);

}  // namespace gullstall::mesh

#endif
