#!/usr/bin/env bash
# Needs target/node and review/.bin/plant (review/build-2.sh). Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/node ] || [ ! -x review/.bin/plant ]; then
	echo "target/node or review/.bin/plant is missing" >&2
	exit 2
fi
exec review/.bin/plant -scene moved -dir review/10
