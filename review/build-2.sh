#!/bin/sh
# Builds the stand-ins of the cases of the second review. The gateways come from the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -tags review -o target/standins-2 ./review/standins-2
