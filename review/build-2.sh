#!/usr/bin/env bash
# Builds the programs of the second review's scripts, with the stand-ins that they start, into target/review-2. The deploy file's build
# comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=(review/harness-2/Platform.cpp review/harness-2/Deployment.cpp standins/TcpListener.cpp standins/platform/LineProtocolGroup.cpp
    standins/platform/RowStore.cpp tests/fleet/Fleet.cpp)
objects=()
pids=()
for source in "${sources[@]}"; do
    object="target/review-2/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -I. -DFOXTAIL_BINARY_FOLDER='"target"' -c "$source" -o "$object" &
    pids+=($!)
    objects+=("$object")
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
build_program() {
    g++ -std=c++20 -O1 -I. "$1" "${objects[@]}" -o "target/review-2/$2" -lboost_json -lssl -lcrypto -pthread
}
build_program review/8/RefusingCut.cpp case-8
build_program review/9/StaleOrder.cpp case-9
build_program review/withdrawn-key-2/KeyInTransaction.cpp withdrawn-key
