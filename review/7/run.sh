#!/bin/sh
# Streams whose replica crashes midway: what the caller gets must not look complete without its last piece. TROUBLE=0: no crash.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/stands-2/target/release/case_7
[ -x "$program" ] || { echo "build first: sh review/build-2.sh"; exit 2; }
exec "$program" "$folder"
