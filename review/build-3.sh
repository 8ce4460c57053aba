#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are plain modules without dependencies, so this only checks that
# each can be parsed by the Node that runs the project's build.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin-3/*.mjs review/1[1-5]/*.mjs; do
    [ -e "$file" ] && node --check "$file"
done
