#!/bin/sh
# A replica carries out an order to join late, after the next gateway has used it.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins late-join review/2/record.txt
