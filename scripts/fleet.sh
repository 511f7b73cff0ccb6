# Functions that start and stop a small fleet on the loopback interface.
# Source it; set FLEET_DIR (scratch folder), BUILD_DIR and FLEET_PORT first.

FLEET_SECRET=${FLEET_SECRET:-demo-secret-of-the-fleet}
FLEET_TOKEN=${FLEET_TOKEN:-demo-token}
declare -A FLEET_PIDS

# A TOML settings file: name, failure domain, HTTP port, Thrift port, the
# backend server for a side process.
fleet_settings() {
  local name=$1 domain=$2 http=$3 peer=$4 server=${5:-}
  {
    printf '[process]\nname = "%s"\nfailure_domain = "%s"\n' "$name" "$domain"
    [ -z "$server" ] || printf 'backend_server = "%s"\n' "$server"
    printf '[listen]\nhttp = "127.0.0.1:%s"\npeer = "127.0.0.1:%s"\n' "$http" "$peer"
    printf '[platform]\nkey_value_url = "http://127.0.0.1:%s"\n' "$KEY_VALUE_PORT"
    printf 'vm_list_url = "http://127.0.0.1:%s/vms"\n' "$VM_LIST_PORT"
    printf '[security]\nsecret = "%s"\n' "$FLEET_SECRET"
    printf '[limits]\nlease_ttl_ms = %s\n' "${FLEET_LEASE_MS:-5000}"
  } > "$FLEET_DIR/$name.toml"
}

# Starts a program in the background and keeps its process id by name.
fleet_start() {
  local name=$1
  shift
  "$@" >> "$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS[$name]=$!
}

fleet_wait_url() {
  local url=$1 tries=200
  until curl -fs -o /dev/null --max-time 1 "$url"; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || { echo "no answer: $url" >&2; return 1; }
    sleep 0.05
  done
}

fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 0.5
  for pid in "${FLEET_PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  FLEET_PIDS=()
}

# The ticket that sets up everything; arguments: number and the state of
# failure domain b.
fleet_ticket() {
  local number=$1 domain_b=${2:-in}
  printf 'ticket = %s\nauthor = "demo"\n' "$number"
  for domain in a b c; do
    local state=in
    [ "$domain" != b ] || state=$domain_b
    printf '[[failure_domain]]\nname = "%s"\nstate = "%s"\n' "$domain" "$state"
  done
}

fleet_full_ticket() {
  local digest
  digest=$(printf '%s' "$FLEET_TOKEN" | sha256sum | cut -d' ' -f1)
  fleet_ticket "$1"
  printf '[[workspace]]\nname = "rail"\ntoken_digest = "%s"\n' "$digest"
  printf '[[pool]]\nname = "assistant"\nkind = "model"\nmodels = ["assist"]\n'
  printf '[[pool]]\nname = "booking"\nkind = "service"\nkey_shards = 8\n'
  printf '[[service]]\nname = "ramps"\npool = "booking"\ncalls = [{name = "book"}, {name = "find", idempotent = true}]\n'
  local i domains=(a b c)
  for i in 0 1 2; do
    printf '[[backend_server]]\nname = "engine-%s"\npool = "assistant"\nfailure_domain = "%s"\n' "$i" "${domains[i]}"
    printf 'side = "127.0.0.1:%s"\nurl = "http://127.0.0.1:%s"\n' $((ENGINE_SIDE_PORT + i)) $((ENGINE_PORT + i))
  done
  for i in 0 1; do
    printf '[[backend_server]]\nname = "service-%s"\npool = "booking"\nfailure_domain = "%s"\n' "$i" "${domains[i * 2]}"
    printf 'side = "127.0.0.1:%s"\nurl = "http://127.0.0.1:%s"\n' $((SERVICE_SIDE_PORT + i)) $((SERVICE_PORT + i))
  done
}

# Starts the stand-ins, two entries and a side process beside each backend
# server, and applies ticket 1.
fleet_up() {
  local base=${FLEET_PORT:-18000} i domains=(a b c)
  KEY_VALUE_PORT=$((base + 1)) VM_LIST_PORT=$((base + 2))
  ENGINE_PORT=$((base + 10)) SERVICE_PORT=$((base + 20))
  ENGINE_SIDE_PORT=$((base + 30)) SERVICE_SIDE_PORT=$((base + 40))
  SIDE_HTTP_PORT=$((base + 50)) ENTRY_PORT=$((base + 70)) ENTRY_PEER_PORT=$((base + 80))
  export WASABIWALL_KEY_VALUE="http://127.0.0.1:$KEY_VALUE_PORT"
  export WASABIWALL_SECRET=$FLEET_SECRET
  fleet_start key-value "$BUILD_DIR/standin-key_value" "127.0.0.1:$KEY_VALUE_PORT"
  fleet_start vm-list "$BUILD_DIR/standin-vm_list" "127.0.0.1:$VM_LIST_PORT" \
    engine-0 engine-1 engine-2 service-0 service-1
  for i in 0 1 2; do
    fleet_start "engine-$i" "$BUILD_DIR/standin-engine" "127.0.0.1:$((ENGINE_PORT + i))" ${FLEET_ENGINE_OPTIONS:-}
    fleet_settings "side-engine-$i" "${domains[i]}" $((SIDE_HTTP_PORT + i)) $((ENGINE_SIDE_PORT + i)) "engine-$i"
    fleet_start "side-engine-$i" "$BUILD_DIR/wasabiwall-side" --config "$FLEET_DIR/side-engine-$i.toml"
  done
  for i in 0 1; do
    fleet_start "service-$i" "$BUILD_DIR/standin-service" "127.0.0.1:$((SERVICE_PORT + i))"
    fleet_settings "side-service-$i" "${domains[i * 2]}" $((SIDE_HTTP_PORT + 10 + i)) $((SERVICE_SIDE_PORT + i)) "service-$i"
    fleet_start "side-service-$i" "$BUILD_DIR/wasabiwall-side" --config "$FLEET_DIR/side-service-$i.toml"
  done
  for i in 0 1; do
    fleet_settings "entry-$i" "${domains[i]}" $((ENTRY_PORT + i)) $((ENTRY_PEER_PORT + i))
    fleet_start "entry-$i" "$BUILD_DIR/wasabiwall-entry" --config "$FLEET_DIR/entry-$i.toml"
  done
  fleet_wait_url "http://127.0.0.1:$KEY_VALUE_PORT/admin/counts"
  fleet_full_ticket 1 > "$FLEET_DIR/ticket-1.toml"
  "$BUILD_DIR/wasabiwall" apply "$FLEET_DIR/ticket-1.toml"
  for i in 0 1; do
    fleet_wait_url "http://127.0.0.1:$((ENTRY_PORT + i))/readyz"
    fleet_wait_url "http://127.0.0.1:$((SIDE_HTTP_PORT + 10 + i))/readyz"
  done
  for i in 0 1 2; do fleet_wait_url "http://127.0.0.1:$((SIDE_HTTP_PORT + i))/readyz"; done
}
