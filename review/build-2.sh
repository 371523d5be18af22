#!/usr/bin/env bash
# Run after the build of the deploy file. The stand-ins are plain Python: this only checks that they
# load with the libraries under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-2:target/deps python3 -c "import bench"
