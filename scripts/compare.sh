#!/usr/bin/env bash
# Compares our routing policy with the naive one on running deployments: the
# same seeds, stand-ins and arrivals for both. CELLS picks by name.
set -eu
cd "$(dirname "$0")/.."
mkdir -p run
: >run/compare.txt
# Name, requests a second (180 is about the capacity of the engines), fault.
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
  { for (i = 1; i <= NF; i++) { split($i, p, "="); v[p[1]] = p[2] }
    k = v["policy"]; n[k]++; a[k] += v["attainment"]; c[k] += v["endpointMsPerWhole"]; w[k] += v["worstWorkspace"]; r[k] += v["retriesPerRequest"]; x[k] += v["crossBytesPerWhole"] }
  END { printf "attainment=%.4f naiveAttainment=%.4f cost=%.1f naiveCost=%.1f crossBytes=%.1f naiveCrossBytes=%.1f worstWorkspace=%.4f retriesPerRequest=%.4f\n",
    a["least"]/n["least"], a["naive"]/n["naive"], c["least"]/n["least"], c["naive"]/n["naive"], x["least"]/n["least"], x["naive"]/n["naive"], w["least"]/n["least"], r["least"]/n["least"] }
' run/compare.txt
