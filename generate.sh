#!/usr/bin/env bash
# Regenerates the committed code from proto/ and api/.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" tool)
PATH="$bin:$PATH" buf generate
for name in platform backend operator; do
	"$bin/ogen" --target "internal/api/$name" --package "$name" --clean --config api/ogen.yaml "api/$name.yaml"
done
