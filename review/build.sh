#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Run after the build of deploy/balancer.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/standin ./review/standin
