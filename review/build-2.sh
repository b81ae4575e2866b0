#!/bin/sh
# Builds what the cases 6 to 10 start beside the balancer, after the build of the deploy file: the project's own
# registry and its agents, in an environment of their own, and the stand-ins, which need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
if ! .venv-review-2/bin/python -c 'import aiohttp, msgspec, typer, xxhash' 2>/dev/null; then
    rm -rf .venv-review-2
    python3 -m venv .venv-review-2
fi
.venv-review-2/bin/pip -q install -e '.[directory]'
.venv/bin/python -m compileall -q review
