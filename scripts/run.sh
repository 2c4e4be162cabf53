#!/usr/bin/env bash
# Starts a small fleet on loopback, submits an estate, sends queries and prints a summary.
set -euo pipefail
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"
seconds="${SECONDS_OF_LOAD:-10}"
rate="${RATE:-200}"

head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/token"
start store "$bin/clementineport-standin" store --listen 127.0.0.1:18900 --lag 0s
start targets "$bin/clementineport-standin" target --listen 127.0.0.1:19000 --count 18 \
	--admin 127.0.0.1:18950 --service-time 5ms --straggler-share 0.01 --straggler-factor 10
wait_for curl -fsS 127.0.0.1:18900/v1/vms
port=18000
for domain in a b c; do
	settings "vm-$domain" "$domain" "$port"
	register "vm-$domain" "$domain" "$port"
	start "vm-$domain" "$bin/clementineport" entry --settings "$work/vm-$domain.yaml"
	port=$((port + 10))
done
for port in 18000 18010 18020; do wait_for curl -fsS "127.0.0.1:$port/livez"; done

operator=(--operator 127.0.0.1:18002,127.0.0.1:18012,127.0.0.1:18022 --token-file "$work/token")
"$bin/clementineport" submit "$root/examples/small.yaml" --based-on 0 --wait 10s "${operator[@]}"
for port in 18000 18010 18020; do wait_for curl -fsS "127.0.0.1:$port/readyz"; done
"$bin/clementineport" status "${operator[@]}"
echo
"$bin/clementineport" load --entries 127.0.0.1:18000,127.0.0.1:18010,127.0.0.1:18020 \
	--services lookup=4,reconcile=1 --rate "$rate" --duration "${seconds}s" --non-idempotent 0.05 "$@"
