#ifndef GULLSTALL_RUNTIME_HPP
#define GULLSTALL_RUNTIME_HPP

/// Runtime module: the thin shell of threads, sockets and clocks round a node.

#include "gullstall/src/runtime/callers_http.hpp"
#include "gullstall/src/runtime/daemon.hpp"
#include "gullstall/src/runtime/http_client.hpp"
#include "gullstall/src/runtime/http_server.hpp"
#include "gullstall/src/runtime/log.hpp"
#include "gullstall/src/runtime/peer_transport.hpp"
#include "gullstall/src/runtime/platform_http.hpp"

#endif
