#!/bin/bash
# Builds the programs of the review's scripts into target/review/. Run from anywhere, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
	if [ -f "$folder/main.go" ]; then
		go build -o "target/review/case-$(basename "$folder")" "./$folder"
	fi
done
