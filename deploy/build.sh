#!/bin/sh
# Puts the gateway and its pinned libraries under target/deps.
set -eu
cd "$(dirname "$0")/.."
wanted=requirements/gateway.txt
installed=target/deps/.requirements
if ! cmp -s "$wanted" "$installed"; then
  rm -rf target/deps
  python3 -m pip install --quiet --require-hashes --target target/deps \
    --requirement "$wanted"
  cp "$wanted" "$installed"
fi
rm -rf target/deps/shallotfold
cp -R src/shallotfold target/deps/shallotfold
