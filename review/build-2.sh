#!/bin/sh
# Builds the programs of the cases of the second review, which hold all of their stand-ins. It needs no network.
set -e
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
	if [ -e "review/$number/main.go" ]; then
		mkdir -p "review/$number/bin"
		go build -o "review/$number/bin/case" "./review/$number"
	fi
done
