#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They need nothing but Go's standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go test -c -tags review -o bin/review-standin ./review/standin
