#!/bin/sh
# Builds the stand-ins of the second review, after the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -tags review -o bin/review-stand ./review/stand
