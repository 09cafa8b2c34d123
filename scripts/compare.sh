#!/usr/bin/env bash
# Compares the routing policies "least" and "naive" on running deployments with
# the same seeds, simulated endpoints and arrivals, and prints means over all
# cells. The environment variable CELLS selects cells by name.
set -eu
cd "$(dirname "$0")/.."
mkdir -p run
: >run/compare.txt
# Each cell is NAME:RATE:FAULT. RATE is in requests per second; the engines'
# capacity is about 180. FAULT is the JSON of an endpoint fault or empty.
cells="half:90: full:180: threefold:540: slowEndpoint:110:{\"slow\":10} failingEndpoint:110:{\"failShare\":1} flood:180:"
for cell in $cells; do
  name=${cell%%:*}
  rest=${cell#*:}
  rate=${rest%%:*}
  fault=${rest#*:}
  case " ${CELLS:-$name} " in *" $name "*) ;; *) continue ;; esac
  for policy in least naive; do
    directory=run/compare
    rm -rf "$directory"
    bin/anvilcross local deployments/wroclaw/answers.ini --directory "$directory" --port 24000 --policy "$policy" >/dev/null
    trap 'scripts/deployment.sh stop run/compare' EXIT
    scripts/deployment.sh start "$directory"
    flags=()
    [ -z "$fault" ] || flags+=(--fault "$fault")
    [ "$name" != flood ] || flags+=(--flood 10)
    bin/anvilload load "$directory" --rate "$rate" --duration 6s --label "cell=$name policy=$policy" "${flags[@]}" | tee -a run/compare.txt
    scripts/deployment.sh stop "$directory"
    trap - EXIT
  done
done
awk '
  { for (i = 1; i <= NF; i++) { split($i, pair, "="); value[pair[1]] = pair[2] }
    policy = value["policy"]; lines[policy]++; attainment[policy] += value["attainment"]; cost[policy] += value["endpointMsPerWhole"]; worst[policy] += value["worstWorkspace"]; retries[policy] += value["retriesPerRequest"]; bytes[policy] += value["crossBytesPerWhole"] }
  END { printf "attainment=%.4f naiveAttainment=%.4f cost=%.1f naiveCost=%.1f crossBytes=%.1f naiveCrossBytes=%.1f worstWorkspace=%.4f retriesPerRequest=%.4f\n",
    attainment["least"]/lines["least"], attainment["naive"]/lines["naive"], cost["least"]/lines["least"], cost["naive"]/lines["naive"], bytes["least"]/lines["least"], bytes["naive"]/lines["naive"], worst["least"]/lines["least"], retries["least"]/lines["least"] }
' run/compare.txt
