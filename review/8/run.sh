#!/bin/sh
# A frozen host carries out, as it wakes, the call of a replica that has started again since. TROUBLE=0: no freeze.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/stands-2/target/release/case_8
[ -x "$program" ] || { echo "build first: sh review/build-2.sh"; exit 2; }
exec "$program" "$folder"
