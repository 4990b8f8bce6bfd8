#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/stand-in ] && [ -x target/release/sardine-serve ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/stand-in drill-resume "$here/record.txt" "$folder"
