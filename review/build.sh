#!/bin/sh
# Builds the stand-ins and the driver of the cases into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/cases ./review/_cases
