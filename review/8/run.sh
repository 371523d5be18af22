#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins-2:../../target/deps exec python3 case.py
