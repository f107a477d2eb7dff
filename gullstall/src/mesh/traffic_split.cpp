#include "gullstall/src/mesh/traffic_split.hpp"

namespace gullstall::mesh {

const std::string &choose_service(traffic_split &it, const traffic_route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::map<std::string, double> &credit = it.credit[route.name];
    double total = 0;
    const weighted_service *chosen = &route.services.front();
    for (const weighted_service &part : route.services) {
        total += part.weight;
        credit[part.service] += part.weight;
        if (credit[part.service] > credit[chosen->service]) {
            chosen = &part;
        }
    }
    credit[chosen->service] -= total;
    return chosen->service;
}

}  // namespace gullstall::mesh
