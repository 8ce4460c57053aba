#!/bin/bash
# Builds every stand-in that the scripts of cases 6 to 10 start. They are modules that Node runs as they are, so this only checks them.
set -e
cd "$(dirname "$0")"
for file in standin-2/*.mjs [0-9]*/case.mjs; do
    node --check "$file"
done
