#!/bin/sh
# Builds the programs of the cases: their stand-ins for clients, stores, the journal service and the platform.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -tags review -o review/bin/ ./review/...
