#!/usr/bin/env bash
# Checks the stand-ins and the cases. They are plain modules for the Node of the build, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/standin/*.mjs review/*/case.mjs; do
    node --check "$module"
done
