#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: the same without the disruption.
# SEED=n: which writes of the store come late.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivebankd ] && [ -x build/review-stage ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
SEED=${SEED:-1} STAGE_DIR=$folder timeout -k 2 115 build/review-stage late-count \
	>review/5/record.txt 2>&1
status=$?
[ $status -le 1 ] || exit 2
exit $status
