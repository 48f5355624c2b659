# Sourced by scripts that run real processes: a work folder, programs that are ended at exit by pid, and
# waits on events. The script sets `name` for its messages before.
work=$(mktemp -d)
pids=""
finish () {
  for p in $pids; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
fail () { echo "$name: $*" >&2; exit 1; }

# start ID PROGRAM [ARGS]: sets port_ID and pid_ID once the program has printed its port.
start () {
  local id=$1; shift
  "$@" >"$work/$id.log" 2>&1 &
  eval "pid_$id=$!"
  pids="$pids $!"
  for _ in $(seq 600); do
    port=$(grep -o 'port=[0-9]*' "$work/$id.log" | head -n 1 | cut -d= -f2 || true)
    [ -n "$port" ] && { eval "port_$id=$port"; return; }
    sleep 0.05
  done
  fail "$id did not start"
}

# until_true COMMAND: waits for an event, with a generous limit.
until_true () {
  for _ in $(seq 600); do "$@" && return; sleep 0.05; done
  fail "never: $*"
}

# serves PORT PATH
serves () { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1$2")" = 200 ]; }
