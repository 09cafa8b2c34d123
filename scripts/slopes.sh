#!/usr/bin/env bash
# Measures how the daemons' control overhead (CPU, memory, traffic) grows with
# their number: in the kernel's simulation up to 500 daemons, and with real
# processes up to 100. The last command fits lines to the figures.
set -eu
cd "$(dirname "$0")/.."
mkdir -p run
go test ./kernel/matrix -count=1 -v -run 'TestSlopes$' -args -slopes >run/kernelSlopes.txt 2>&1 || { cat run/kernelSlopes.txt; exit 1; }
grep -v -e '^=== ' -e '^---' -e '^PASS' -e '^ok' run/kernelSlopes.txt
: >run/usage.txt
for per_data_centre in 2 6 12 20; do
  directory=run/slopes
  rm -rf "$directory"
  mkdir -p "$directory"
  sed -e "s/^dataCentres = .*/dataCentres = d1, d2, d3, d4, d5/" -e "s/^instancesPerDataCentre = .*/instancesPerDataCentre = $per_data_centre/" deployments/wroclaw/answers.ini >"$directory/answers.ini"
  bin/anvilcross local "$directory/answers.ini" --directory "$directory" --port 23000 >/dev/null
  # No requests are sent, so the endpoints are not started.
  grep -v 'anvilstandin endpoints' "$directory/processes" >"$directory/few" && mv "$directory/few" "$directory/processes"
  trap 'scripts/deployment.sh stop run/slopes' EXIT
  scripts/deployment.sh start "$directory"
  sleep 16
  bin/anvilload usage "$directory" --duration 10s | tee -a run/usage.txt
  scripts/deployment.sh stop "$directory"
  trap - EXIT
done
bin/anvilload slopes run/usage.txt run/kernelSlopes.txt
