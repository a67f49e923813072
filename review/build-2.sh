#!/bin/sh
# Builds the stand-ins of the second review.
cd "$(dirname "$0")/.." && mkdir -p bin && CGO_ENABLED=1 go test -c -tags review -o bin/review-standin-2.new ./review/standin-2 && mv bin/review-standin-2.new bin/review-standin-2
