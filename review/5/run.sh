#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
Folder=review/$(basename "$(dirname "$(realpath "$0" 2>/dev/null || echo "$0")")")
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
timeout -k 2 110 "target/review/case-$(basename "$Folder")" "$Folder" "$Scratch"
Status=$?
[ "$Status" -le 1 ] || Status=2
exit "$Status"
