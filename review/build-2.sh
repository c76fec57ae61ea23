#!/usr/bin/env bash
# Builds what the scripts of this review start, besides the programs of the deploy file: the platform's
# stand-in with its clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/.bin
go build -o review/.bin/plant ./review/plant
