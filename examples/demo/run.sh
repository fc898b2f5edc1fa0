#!/usr/bin/env bash
# Starts a deployment of the Lochgair example on loopback, sends requests while
# one entry instance is reclaimed, and checks the answers. Exits non-zero when an
# answer is missing, doubled or truncated.
#
# Usage: run.sh PROGRAM_DIRECTORY [--falsify lost|cut|doubled]
set -euo pipefail

bin=$1
shift
here=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
declare -A pids

# Ends the processes that this script started, by process id.
stop_all() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM [ARGUMENT...]: runs a program and waits for the line with
# its addresses.
start() {
  local name=$1
  shift
  "$bin/$1" "${@:2}" >"$work/$name.out" 2>"$work/$name.log" &
  pids[$name]=$!
  # Keeps the shell from reporting the end of a program that is killed.
  disown
  for _ in $(seq 200); do
    [ -s "$work/$name.out" ] && return 0
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$work/$name.log" >&2
  exit 1
}

# address NAME FIELD: prints an address from the line that a program printed.
address() {
  sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out"
}

# put_instance ID ROLE POOL ADDRESS FAILURE_DOMAIN: adds an instance to the
# platform's list.
put_instance() {
  curl -sf -o /dev/null -X PUT "http://$platform/v1/instances/$1" \
    -d "{\"id\":\"$1\",\"role\":\"$2\",\"pool\":\"$3\",\"address\":\"$4\",\
\"failureDomain\":\"$5\",\"region\":\"scot-central\",\"state\":\"live\"}"
}

start platform standin-platform
platform=$(address platform address)

engines=""
services=""
entries=""
operators=""
for number in 0 1 2 3 4 5; do
  domain=scot-central-$(echo abc | cut -c$((number % 3 + 1)))
  start "engine-$number" standin-engine --id "engine-$number" \
    --pool sheet-model --model sheet-7b --step-us 10000
  engines+=",$(address "engine-$number" address)"
  put_instance "engine-$number" engine sheet-model \
    "$(address "engine-$number" address)" "$domain"
done
for number in 0 1 2; do
  domain=scot-central-$(echo abc | cut -c$((number + 1)))
  start "desk-$number" standin-service --id "desk-$number"
  services+=",$(address "desk-$number" address)"
  put_instance "desk-$number" service certificate-desk \
    "$(address "desk-$number" address)" "$domain"
done

operator_token=demo-operator
operator_digest=$(printf %s "$operator_token" | sha256sum | cut -d' ' -f1)
for number in 0 1 2 3 4 5; do
  domain=scot-central-$(echo abc | cut -c$((number % 3 + 1)))
  cat >"$work/entry-$number.yaml" <<SETTINGS
instance: { id: entry-$number, failureDomain: $domain, region: scot-central }
listen: { callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0" }
platform:
  table: $platform
  objectStore: $platform
  bucket: journal
  instanceList: $platform
  notices: $platform
  noticePath: /instances/entry-$number/latest/meta-data/spot/instance-action
log: { format: text, level: info }
operators:
  - { tokenDigest: $operator_digest, role: writer }
SETTINGS
  start "entry-$number" sycamorewardd --settings "$work/entry-$number.yaml"
  entries+=",$(address "entry-$number" callers)"
  operators+=" --server $(address "entry-$number" operators)"
  put_instance "entry-$number" entry entry \
    "$(address "entry-$number" peers)" "$domain"
done

for number in 0 1 2 3 4 5; do
  ready=""
  for _ in $(seq 200); do
    if curl -sf -o /dev/null "http://$(address "entry-$number" operators)/readyz"; then
      ready=yes
      break
    fi
    sleep 0.05
  done
  [ -n "$ready" ] || { echo "entry-$number is not ready" >&2; exit 1; }
done
echo "6 entry instances in 3 failure domains, 6 engines and 3 desks are ready."

printf %s "$operator_token" >"$work/token"
# shellcheck disable=SC2086
"$bin/sycamorewardctl" apply -f "$here/examples/lochgair" --wait $operators \
  --token-file "$work/token"

# About one second into the requests, the platform announces that it reclaims
# entry-0.
(
  sleep 1
  curl -sf -o /dev/null -X POST \
    "http://$platform/v1/instances/entry-0/notice" -d '{"seconds":2}'
  echo "entry-0 has a reclaim notice of 2 s."
  sleep 2
  kill -KILL "${pids[entry-0]}" 2>/dev/null || true
  echo "entry-0 is gone."
) &

"$bin/sycamoreward-verify" --entry "${entries#,}" --engine "${engines#,}" \
  --service "${services#,}" --completion-token example-token-ridge-crews \
  --record-token example-token-certificate-desk "$@"
