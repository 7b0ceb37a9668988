#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$dir/../.." && pwd)
driver="$root/target/review-2/release/review-cases-2"
[ -x "$driver" ] && [ -x "$root/target/release/carawayseam-gateway" ] || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
TROUBLE="${TROUBLE:-1}" "$driver" deadly-request "$root" "$dir" "$tmp"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
