#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
trouble=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case2 ] && [ -x target/platform/stepledge ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 116 target/review/case2 review/2 "$folder" "$trouble"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
