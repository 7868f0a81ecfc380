#!/bin/bash
# Builds the stand-ins of the cases: they are Python files that need the standard library only, and run in the
# environment of the deploy file's build. Compiling them shows that this Python can read them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/[0-9]/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
