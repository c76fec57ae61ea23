#!/bin/sh
# Builds the stand-ins of the cases from 11 on into review/.bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.bin
go build -o review/.bin/stand3 ./review/stand3
