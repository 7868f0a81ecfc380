#!/usr/bin/env bash
# Builds what the cases 6 to 10 need, after the build of the deploy file. The stand-ins are Python programs that use
# the standard library alone. The program needs protobuf to read an operator's file (its extra "membership"), which
# the build of the deploy file does not install: it is put into review/build/operator, in the version that
# requirements-dev.txt names, and the cases that use an operator's file add this folder to PYTHONPATH.
set -euo pipefail
cd "$(dirname "$0")/.."
target=review/build/operator
wanted="$(grep '^protobuf==' requirements-dev.txt) $(uname -m)"
if [ "$(cat "$target/installed" 2>/dev/null)" != "$wanted" ]; then
    rm -rf "$target"
    if ! .venv/bin/pip -q install --disable-pip-version-check --no-deps --target "$target" "${wanted% *}"; then
        # Without a package index: the copy of the development environment, if ./dev has made one here.
        mkdir -p "$target"
        cp -R .venv-ci/lib/python3*/site-packages/google "$target/"
    fi
    printf '%s\n' "$wanted" > "$target/installed"
fi
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONPATH=$target .venv/bin/python -c 'import google.protobuf'
