#!/usr/bin/env bash
# Put the libraries and the two packages of the front process under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
libraries=target/deps/.libraries
if [ ! -e "$libraries" ] || [ deploy/requirements.txt -nt "$libraries" ] || [ constraints.txt -nt "$libraries" ]; then
  python3 -m pip install -q -U --target target/deps -c constraints.txt -r deploy/requirements.txt
  touch "$libraries"
fi
rm -rf target/deps/sesamepoint target/deps/sesamepoint_core
cp -r packages/sesamepoint-core/src/sesamepoint_core packages/sesamepoint/src/sesamepoint target/deps/
# Bytecode that stays valid when the files are copied with other times: without it,
# compiling takes longer than all the rest of a start.
python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
