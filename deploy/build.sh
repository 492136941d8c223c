#!/bin/sh
# Puts the gateway and its pinned libraries under target/deps.
set -eu
cd "$(dirname "$0")/.."
if ! [ target/deps/.installed -nt requirements/gateway.txt ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --require-hashes --target target/deps \
    --requirement requirements/gateway.txt
  touch target/deps/.installed
fi
rm -rf target/deps/shallotfold
cp -R src/shallotfold target/deps/shallotfold
