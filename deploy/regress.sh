#!/usr/bin/env bash
# Plays the standard days of several sites and compares the scores with a base.
#
# usage: deploy/regress.sh BENCH SITE=BASE...
#
# BENCH is the bench's program, SITE a site file and BASE the score to compare with.
# SCORE_FLAGS holds further flags of the bench's score command. With --quick there is
# no score of the site; the mean of the days played takes its place.
# It prints one line a site and exits with 1 if a gate fails, a score can't be read,
# or a score is more than 0.03 below its base.
set -euo pipefail

if [ $# -lt 2 ]; then
  sed -n '2,10s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1
shift
read -r -a flags <<<"${SCORE_FLAGS:-}"
output=$(mktemp)
trap 'rm -f "$output"' EXIT

# score prints the score of the site, or the mean of its days without one.
score() {
  awk '
    /^score on the / && match($0, /: [0-9.]+/) { site = substr($0, RSTART + 2, RLENGTH - 2) }
    $2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh-/ { sum += $3; days++ }
    END { if (site != "") print site; else if (days) printf "%.3f\n", sum / days }' "$1"
}

failed=0
printf '%-28s %6s %6s  %s\n' site base now gate
for pair in "$@"; do
  site=${pair%=*}
  base=${pair##*=}
  "$bench" score "$site" "${flags[@]}" --why "regression run" >"$output" 2>&1 || true
  now=$(score "$output")
  gate=$(sed -nE 's/^GATE (passed|failed).*/\1/p' "$output" | head -n 1)
  note=
  if [ -z "$now" ] || [ "$gate" != passed ] || awk "BEGIN { exit !($now < $base - 0.03) }"; then
    note=' <- regression'
    failed=1
  fi
  printf '%-28s %6s %6s  %s%s\n' "$(basename "$site" .toml)" "$base" "${now:-none}" "${gate:-none}" "$note"
done
exit "$failed"
