#!/bin/sh
# Replicas crash while a gateway stops, and clients send long bodies to another one.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins long-body review/1/record.txt
