#!/usr/bin/env bash
# Builds the stand-ins of the cases. The program of the deploy file is built as there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewstand ./review/reviewstand
