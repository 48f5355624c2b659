# Sourced by scripts that run real processes: a work folder, programs that are killed by pid at
# exit, and waits with a time limit. The script sets `name`, the prefix of error messages, before
# that.
work=$(mktemp -d)
pids=""
finish () {
  for p in $pids; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
fail () { echo "$name: $*" >&2; exit 1; }

# start ID PROGRAM [ARGS]: runs it, waits for its port, and sets port_ID and pid_ID.
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

# until_true COMMAND: repeats the command until it succeeds; fails after 600 tries, 50 ms apart.
until_true () {
  for _ in $(seq 600); do "$@" && return; sleep 0.05; done
  fail "timed out waiting for: $*"
}

# serves PORT PATH: true if a GET is answered with 200.
serves () { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1$2")" = 200 ]; }
