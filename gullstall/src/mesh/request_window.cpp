#include "gullstall/src/mesh/request_window.hpp"

namespace gullstall::mesh {

void record_request(request_window &it, const request_window::entry &request)
{
    it.entries.push_back(request);
    while (it.entries.front().at <= request.at - request_window_length) {
        it.entries.pop_front();
    }
}

request_counts counts_in_window(const request_window &it, time_point now)
{
    request_counts out;
    for (auto entry = it.entries.rbegin(); entry != it.entries.rend(); ++entry) {
        if (entry->at <= now - request_window_length) {
            break;
        }
        ++out.all;
        out.retries += entry->is_retry ? 1 : 0;
        out.nested += entry->is_nested ? 1 : 0;
    }
    return out;
}

}  // namespace gullstall::mesh
