#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH="..:../../target/deps"
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
