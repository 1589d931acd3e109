#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of deploy/balancer.toml. Needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/ ./review/standin2
