#!/bin/sh
# Writes two variants of the kit's deployments into this folder, which git ignores: variants.sh KIT
#   single     one class and one zone, as the bench wants one, other limits and costs; from saskatoon-main
#   prefix     class names of which one begins the other, short windows, few lines a second; from lagoon-charts
# Each differs from its source in what a line below says, and in nothing else. A line that finds nothing to change ends it.
set -eu
kit=${1:?the folder of the kit}
here=$(dirname "$0")

# change FILE PATTERN TEXT: every line that has the pattern gets the text in its place
change() {
    grep -q "$2" "$1" || { echo "$1: no line has $2" >&2; exit 1; }
    sed -i "s|$2|$3|" "$1"
}

# take SOURCE NAME: a folder for the variant with all that its source has beside it
take() {
    mkdir -p "$here/$2"
    cp "$(dirname "$1")"/*.json "$(dirname "$1")"/unlock.txt "$here/$2/"
    chmod u+w "$here/$2"/*
    sed "s/^name = \"$(basename "$1" .toml)\"/name = \"$2\"/" "$1" > "$here/$2/$2.toml"
}

take "$kit/sites/saskatoon-main.toml" single
site=$here/single/single.toml
# Keeps the first class alone, and all of the traffic with it.
awk '/^\[\[class\]\]/ { n++ } /^\[[^[]|^\[\[[^c]/ { if (n > 1) n = -1 } n < 2 { print }' "$site" > "$site.new"
mv "$site.new" "$site"
change "$site" '^share = \[0.47, 0.71\]' 'share = 1'
change "$site" '^name = "subset"' 'name = "glyphs"'
change "$site" '^zones = .*' 'zones = ["hall"]'
change "$site" '^zone_skew = .*' 'zone_skew = 0'
change "$site" '^deal = "zone"' 'deal = "chance"'
change "$site" '^drain_grace_ms = .*' 'drain_grace_ms = 2200'
change "$site" '^messages_most = .*' 'messages_most = 30'
change "$site" '^aim_ms = .*' 'aim_ms = 900'
change "$site" '^deadline_ms = .*' 'deadline_ms = 2000'
change "$site" '^connection = .*' 'connection = 0.04'

take "$kit/more/mass/other/lagoon-charts.toml" prefix
site=$here/prefix/prefix.toml
change "$site" '^name = "lookup"' 'name = "chart"'
change "$site" '^name = "order"' 'name = "chart-order"'
change "$site" '^share = \[0.41, 0.61\]' 'share = [0.2, 0.3]'
change "$site" '^share = \[0.39, 0.59\]' 'share = [0.7, 0.8]'
change "$site" '^effect = "unsafe"' 'effect = "keyed"\ngroup = "zone"\nwindow_ms = 800'
change "$site" '^lines_per_s = .*' 'lines_per_s = [2600, 3400]'
change "$site" '^period_s = .*' 'period_s = 1'
change "$site" '^deadline_ms = 3000' 'deadline_ms = 2500'
change "$site" '^cross_zone = .*' 'cross_zone = 0.05'
change "$site" '^order_price = .*' 'order_price = 0.08'
