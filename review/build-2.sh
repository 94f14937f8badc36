#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemon itself is
# built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig2
