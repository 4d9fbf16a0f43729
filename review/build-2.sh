#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of deploy/balancer.toml; the folder bin/ is left out
# of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-stand2 ./review/stand2
