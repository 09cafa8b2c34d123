#!/usr/bin/env bash
# Measures how the daemons' control work grows: the kernel alone up to 500
# daemons, and real processes up to 100.
set -eu
cd "$(dirname "$0")/.."
mkdir -p run
go test ./kernel/matrix -count=1 -v -run 'TestSlopes$' -args -slopes >run/kernelSlopes.txt 2>&1 || { cat run/kernelSlopes.txt; exit 1; }
grep -v -e '^=== ' -e '^---' -e '^PASS' -e '^ok' run/kernelSlopes.txt
: >run/usage.txt
for each in 2 6 12 20; do
  directory=run/slopes
  rm -rf "$directory"
  mkdir -p "$directory"
  sed -e "s/^dataCentres = .*/dataCentres = d1, d2, d3, d4, d5/" -e "s/^instancesPerDataCentre = .*/instancesPerDataCentre = $each/" deployments/wroclaw/answers.ini >"$directory/answers.ini"
  bin/anvilcross local "$directory/answers.ini" --directory "$directory" --port 23000 >/dev/null
  grep -v 'anvilstandin endpoints' "$directory/processes" >"$directory/few" && mv "$directory/few" "$directory/processes"
  trap 'scripts/deployment.sh stop run/slopes' EXIT
  scripts/deployment.sh start "$directory"
  sleep 16
  bin/anvilload usage "$directory" --duration 10s | tee -a run/usage.txt
  scripts/deployment.sh stop "$directory"
  trap - EXIT
done
bin/anvilload slopes run/usage.txt run/kernelSlopes.txt
