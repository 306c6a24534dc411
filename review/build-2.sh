#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start: the stand-ins are
# Python modules and need the libraries that the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD:$PWD/review"
python3 -m compileall -q redwingvalve/platform/standins redwingvalve/standins \
    review/rig2.py
python3 -c 'import rig2'
