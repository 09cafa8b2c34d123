#!/usr/bin/env bash
# Sends load to a deployment on loopback while its daemons are killed, frozen or
# restarted, and compares the answers with the executions that the endpoints
# recorded. Daemons are signalled by process id.
#   scripts/chaos.sh kill|freeze|restart [SECONDS] [RATE]
# kill: each daemon in turn gets SIGKILL and is started again a second later.
# freeze: each daemon in turn is suspended with SIGSTOP for four seconds.
# restart: a rolling restart with SIGTERM; every answer must be whole.
set -eu
cd "$(dirname "$0")/.."
mode=$1
seconds=${2:-20}
rate=${3:-60}
directory=run/chaos
rm -rf "$directory"
bin/anvilcross local deployments/wroclaw/answers.ini --directory "$directory" --port 22000 >/dev/null
trap 'scripts/deployment.sh stop "$directory"' EXIT
scripts/deployment.sh start "$directory"
sleep 2

# launch SEAT starts the daemon of a seat with its original arguments.
launch() {
  local arguments
  arguments=$(sed -n "s/^$1 anvilcrossd //p" "$directory/processes")
  # shellcheck disable=SC2086
  bin/anvilcrossd $arguments >>"$directory/$1.log" 2>&1 </dev/null &
  echo $! >"$directory/$1.pid"
}

flags=--tickets
[ "$mode" != restart ] || flags="--tickets --whole"
# shellcheck disable=SC2086
bin/anvilload chaos "$directory" --duration "${seconds}s" --rate "$rate" $flags &
load_pid=$!
for seat in $(sed -n 's/ anvilcrossd .*//p' "$directory/processes"); do
  kill -0 "$load_pid" 2>/dev/null || break
  pid=$(cat "$directory/$seat.pid")
  case $mode in
    kill) kill -9 "$pid"; wait "$pid" 2>/dev/null || true; sleep 1; launch "$seat"; sleep 1 ;;
    freeze) kill -STOP "$pid"; sleep 4; kill -CONT "$pid"; sleep 0.5 ;;
    restart) kill "$pid"; while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done; launch "$seat"; sleep 1.5 ;;
    *) echo "usage: $0 kill|freeze|restart [SECONDS] [RATE]" >&2; exit 2 ;;
  esac
done
wait "$load_pid"
