#!/bin/sh
# Builds what the cases' scripts start besides the project's own programs: the stand-ins, in plain Python.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import sys; assert sys.version_info >= (3, 11)'
.venv/bin/python -m compileall -q review
