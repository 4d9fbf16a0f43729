#!/bin/sh
# Builds the stand-ins of the review's cases. It needs the modules that the deploy file's build needs, and no others.
set -eu
cd "$(dirname "$0")/.."
for main in review/*/main.go; do
	folder=$(dirname "$main")
	CGO_ENABLED=0 go build -o "$folder/bin/case" "./$folder"
done
