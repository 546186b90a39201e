#!/usr/bin/env bash
# Builds the stand-ins of the review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand
