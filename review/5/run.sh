#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.."
exec env PYTHONDONTWRITEBYTECODE=1 timeout -k 5 110 python3 review/5/run.py
