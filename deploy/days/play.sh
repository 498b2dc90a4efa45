#!/usr/bin/env bash
# Play each day of this folder on a deployment and print one line a day.
# Usage: play.sh PROGRAM SITE-FILE   (PROGRAM plays one day: PROGRAM run SITE DAY)
set -uo pipefail
program=$1
site=$2
here=$(dirname "$0")
for day in "$here"/*.toml; do
  "$program" run "$site" "$day" --why "own day $(basename "$day" .toml)" 2>&1 | grep -a -A1 '^day ' | tail -1 | cut -c1-200
done
