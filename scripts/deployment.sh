#!/usr/bin/env bash
# Starts or stops the processes of a deployment that `anvilcross local` wrote.
#   scripts/deployment.sh start DIRECTORY
#   scripts/deployment.sh stop DIRECTORY
# DIRECTORY/processes lists them, one per line: NAME PROGRAM ARGUMENTS. The output
# of each goes to DIRECTORY/NAME.log, its process id to DIRECTORY/NAME.pid.
set -eu
action=$1
directory=$2
binaries=$(cd "$(dirname "$0")/.." && pwd)/bin

start() {
  while read -r name program arguments; do
    # shellcheck disable=SC2086
    "$binaries/$program" $arguments >"$directory/$name.log" 2>&1 </dev/null &
    echo $! >"$directory/$name.pid"
  done <"$directory/processes"
}

stop() {
  local pids=() file pid
  for file in "$directory"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill "$pid" 2>/dev/null || true
    pids+=("$pid")
    rm -f "$file"
  done
  # Processes get ten seconds for a graceful shutdown, then they are killed.
  for _ in $(seq 100); do
    local running=0
    for pid in "${pids[@]}"; do
      if kill -0 "$pid" 2>/dev/null; then running=1; fi
    done
    [ "$running" = 1 ] || return 0
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}

case $action in
  start) start ;;
  stop) stop ;;
  *) echo "usage: $0 start|stop DIRECTORY" >&2; exit 2 ;;
esac
