#!/bin/sh
# The stand-ins are Python programs that use the libraries of the deploy file's build alone, so
# there is nothing to compile; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
export PYTHONPATH=".:../target/deps"
export PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import standins.cluster, standins.main, standins.rule"
