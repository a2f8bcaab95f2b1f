#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/kingcupvalved ] || [ ! -x target/reviewstand ]; then
	echo "build the program of the deploy file and run review/build.sh first" >&2
	exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
exec target/reviewstand --case crash --program target/kingcupvalved --record review/1/record.txt --trouble=$trouble
