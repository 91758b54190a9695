#!/bin/bash
# Compares the processor time of two versions of the controller from start to first pong.
# Usage: ready.sh CONFIG OLD.jar NEW.jar [ROUNDS]
# Starts both jars alternately with the flags of balancer.toml; each needs its target/lib beside it. Prints the medians
# in hundredths of a second and their ratio. 'listen' in CONFIG should have port 0; its discovery need not be reachable.
set -eu
config=$1
rounds=${4:-9}
flags=$(sed -n 's/^run = "exec java \(.*\) -jar .*/\1/p' "$(dirname "$0")/balancer.toml")
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# once JAR: starts the controller once and prints its processor time in hundredths of a second
once() {
    : > "$log"
    RELAY_CONFIG=$config java $flags -jar "$1" serve 2> "$log" &
    local pid=$! port=""
    while [ -z "$port" ]; do
        kill -0 "$pid" || { cat "$log" >&2; exit 1; }
        port=$(sed -n 's/.* serves on .*, port \([0-9]*\).*/\1/p' "$log")
    done
    exec 3<> "/dev/tcp/127.0.0.1/$port"
    printf '*1\r\n$4\r\nping\r\n' >&3
    read -r -u 3
    awk '{ print $14 + $15 }' "/proc/$pid/stat"
    exec 3>&-
    kill "$pid"
    wait "$pid"
}

median() {
    sort -n | awk '{ all[NR] = $1 } END { print all[int((NR + 1) / 2)] }'
}

old=""
new=""
for _ in $(seq "$rounds"); do
    old="$old $(once "$2")"
    new="$new $(once "$3")"
done
before=$(printf '%s\n' $old | median)
after=$(printf '%s\n' $new | median)
echo "$before -> $after, ratio $(awk "BEGIN { printf \"%.2f\", $after / $before }") (medians of $rounds; before:$old; after:$new)"
