#!/usr/bin/env bash
# Plots one figure of an experiment's report: benchmarks/plot.sh REPORT FIGURE OUTPUT.png
# The bar shows the median over the seeds, the line the range from minimum to maximum.
set -eu
report=$1 figure=$2 output=$3
data=$(mktemp)
trap 'rm -f "$data"' EXIT
tr '{' '\n' <"$report" | awk -v figure="$figure" '
    function value(name) { match($0, "\"" name "\":[^,}]*"); return substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3) }
    /"variant":/ { match($0, /"variant":"[^"]*"/); variant = substr($0, RSTART + 11, RLENGTH - 12) }
    wanted { print variant, value("median"), value("min"), value("max"); wanted = 0 }
    index($0, "\"" figure "\":") { wanted = 1 }' >"$data"
gnuplot <<END
set terminal pngcairo noenhanced size 1000,500
set bmargin 8
set rmargin 8
set output "$output"
set title "$figure"
set style fill solid 0.4
set boxwidth 0.6
set yrange [0:*]
set xtics rotate by -30
unset key
plot "$data" using 0:2:xtic(1) with boxes, "$data" using 0:2:3:4 with yerrorbars lc rgb "black"
END
