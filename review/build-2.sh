#!/bin/bash
# Builds every stand-in that a script of the second review starts.
cd "$(dirname "$0")/.." || exit 2
go build -o bin/review-2 ./review/standins-2
