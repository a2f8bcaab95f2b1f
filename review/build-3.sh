#!/bin/sh
# Builds the stand-in that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/flowstand ./review/flowstand
