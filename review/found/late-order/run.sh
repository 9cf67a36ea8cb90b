#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; SEED draws the clients' requests.
command -v python3 >/dev/null || exit 2
export TROUBLE=${TROUBLE:-1} SEED=${SEED:-1} PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
