#!/usr/bin/env bash
# Story: an operator starts a deployment on loopback, publishes a bundle and lets
# callers in; every answer must be whole. It fails when any program of the path
# does not start, does not meet the others, or hands out a wrong body.
set -eu
cd "$(dirname "$0")/../.."
NORMAL_S=3 SURGE_S=2 CALM_S=3 BASE_PORT=23000 exec bash demo/run.sh "$1" mokoena
