#ifndef GULLSTALL_WIRE_HPP
#define GULLSTALL_WIRE_HPP

/// Wire module: the frames between nodes and their bytes.

#include "gullstall/src/wire/codec.hpp"

#endif
