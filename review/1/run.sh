#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
Here=$(cd "$(dirname "$0")" && pwd)
Number=$(basename "$Here")
cd "$Here/../.."
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
timeout -k 2 115 "target/review/case-$Number" "review/$Number" "$Scratch"
Status=$?
[ "$Status" -le 1 ] || Status=2
exit "$Status"
