#!/bin/sh
# Build what the scripts of this folder start beside the balancer: the stand-ins are Python files, and the
# registry's command is installed as CONTRIBUTING.md says.
set -eu
cd "$(dirname "$0")/.."
make .venv-make/ready
.venv/bin/python -m compileall -q review
