#!/usr/bin/env bash
# Runs gateways before stand-ins of the users' services, then both users'
# deployments of the product's own interface, on loopback: sends real requests
# through every route and pipeline, and stops everything again.
set -eu
cd "$(dirname "$0")/.."
bin/anvilload site
port=21000
result=0
for user in wroclaw pelletier; do
  rm -rf "run/$user"
  bin/anvilcross local "deployments/$user/answers.ini" --directory "run/$user" --port $port
  trap 'scripts/deployment.sh stop "run/$user"' EXIT
  scripts/deployment.sh start "run/$user"
  bin/anvilload demo "run/$user" || result=1
  scripts/deployment.sh stop "run/$user"
  trap - EXIT
  port=$((port + 200))
done
exit $result
