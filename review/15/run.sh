#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabiwall-gateway ] && [ -x target/review-3/evacuate ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 target/review-3/evacuate "$folder" review/15/record.txt
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
