#!/bin/sh
# Replicas crash while a gateway stops, and clients send long bodies to another one.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standins long-body review/1/record.txt
