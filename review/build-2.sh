#!/bin/sh
# Builds what the cases 6 to 10 start beside the balancer: the project's own registry and its agents, in an
# environment of their own. All other stand-ins need the standard library alone.
set -e
cd "$(dirname "$0")/.."
if ! .venv-review-2/bin/python -c 'import aiohttp, msgspec, typer, xxhash' 2>/dev/null; then
    rm -rf .venv-review-2
    python3 -m venv .venv-review-2
fi
.venv-review-2/bin/pip -q install -e '.[directory]'
