#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The deploy file's build comes first.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review/rig2 ./review/rig2
