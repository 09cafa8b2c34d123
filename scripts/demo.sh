#!/usr/bin/env bash
# Runs a demonstration on loopback: first gateways in front of simulated services,
# then the two example deployments of anvilcross's own interface. Sends requests
# through every route and pipeline, checks the answers and stops all processes.
set -eu
cd "$(dirname "$0")/.."
bin/anvilload site
port=21000
exit_code=0
for deployment in wroclaw pelletier; do
  rm -rf "run/$deployment"
  bin/anvilcross local "deployments/$deployment/answers.ini" --directory "run/$deployment" --port $port
  trap 'scripts/deployment.sh stop "run/$deployment"' EXIT
  scripts/deployment.sh start "run/$deployment"
  bin/anvilload demo "run/$deployment" || exit_code=1
  scripts/deployment.sh stop "run/$deployment"
  trap - EXIT
  port=$((port + 200))
done
exit $exit_code
