#!/bin/sh
cd "$(dirname "$0")" && [ -x ../../.venv/bin/python ] || exit 2
exec ../../.venv/bin/python case.py
