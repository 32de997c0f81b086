#!/bin/sh
# Builds what the cases in review/6 to review/10 start, after the build of the deploy file. Their stand-ins are
# Python files that need no package but the standard library; the project's own programs that they start
# (`python -m spoolbarrow`, alone or with `flows collect`) are built by the deploy file. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins2.py review/6 review/7 review/8 review/9 review/10
