#!/bin/bash
# Builds the program that plays the scripted cases. The build command of the deploy file has to run before.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.bin
go build -o review/.bin/stand ./review/stand
