#!/usr/bin/env bash
# Uploads the output of 'tamarackctl build' to the stand-in platform: the parts first
# and the manifest last, since nodes act on the manifest. With a real platform, use its
# own tool in the same order.
set -euo pipefail
[ $# = 2 ] || { echo "usage: scripts/publish.sh DIRECTORY http://PLATFORM" >&2; exit 2; }
# Without this check curl would upload an empty value for a missing file, and every
# node would refuse the empty manifest.
[ -s "$1/manifest" ] && [ -d "$1/part" ] || { echo "$1 is not what 'tamarackctl build' wrote" >&2; exit 1; }
put() { curl -sSf -X PUT --data-binary @"$1" "$2"; }
for part in "$1"/part/*; do
  put "$part" "${2%/}/admin/config/part/$(basename "$part")"
done
put "$1/manifest" "${2%/}/admin/config/manifest"
