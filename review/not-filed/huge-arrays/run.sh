#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0: no disruption.
cd "$(dirname "$0")/../../.." || exit 2
exec java -Xmx512m -cp review/out review.CaseHugeArrays "$PWD" "$PWD/review/not-filed/huge-arrays/record.txt"
