#!/usr/bin/env bash
# Measures a user's example estate on loopback: first the current and the baseline policy in the same run, then a
# failure domain that is taken out of service and returned to it.
# Usage: measure.sh achubwr|rijkshavenbureau [RUN]
# Writes JSON reports, a CSV timeline, plots and the counters of the targets to tmp/measured/.
set -euo pipefail
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"
user="${1:?usage: measure.sh achubwr|rijkshavenbureau [RUN]}"
run="${2:-1}"
out="$root/tmp/measured"
mkdir -p "$out"
service_time="${SERVICE_TIME:-8ms}"

case "$user" in
achubwr)
	domains=(a b c a b c a b)
	services="booking-desk=40,trainer-portal=40,certificate-sync=4,centre-billing=6"
	kinds=("19000 15 6 45 6ms" "19015 15 6 45 6ms" "19030 45 6 45 6ms" "19075 35 3 100 1ms" "19110 17 3 100 1ms")
	;;
rijkshavenbureau)
	domains=(a b c d a b c d)
	services="invoice-desk=40,customs-feed=40,quay-portal=6,dispute-handling=6"
	kinds=("19000 15 4 36 6ms" "19015 15 4 36 6ms" "19030 45 4 36 6ms" "19075 35 2 36 1ms" "19110 17 2 36 1ms")
	;;
*) echo "unknown user $user" >&2; exit 2 ;;
esac

head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/token"
start store "$bin/clementineport-standin" store --listen 127.0.0.1:18900
admin=18950
for kind in "${kinds[@]}"; do
	read -r first count slots connections cost <<<"$kind"
	layouts=1
	if [ "$first" = 19015 ]; then layouts=2; fi
	start "targets-$first" "$bin/clementineport-standin" target --listen "127.0.0.1:$first" --count "$count" \
		--admin "127.0.0.1:$admin" --slots "$slots" --queue "$slots" --connections "$connections" \
		--connection-cost "$cost" --layouts "$layouts" --service-time "$service_time" \
		--straggler-share 0.01 --straggler-factor 10 --cold-step "${COLD_STEP:-0}" --seed "$run"
	admin=$((admin + 1))
done
wait_for curl -fsS 127.0.0.1:18900/v1/vms
port=18000
entries=""
operators=""
for i in "${!domains[@]}"; do
	name="vm-${domains[$i]}$i"
	settings "$name" "${domains[$i]}" "$port"
	register "$name" "${domains[$i]}" "$port"
	start "$name" "$bin/clementineport" entry --settings "$work/$name.yaml"
	entries="$entries,127.0.0.1:$port"
	operators="$operators,127.0.0.1:$((port + 2))"
	port=$((port + 10))
done
for ((p = 18000; p < port; p += 10)); do wait_for curl -fsS "127.0.0.1:$p/livez"; done
operator=(--operator "${operators#,}" --token-file "$work/token")
"$bin/clementineport" submit "$root/examples/$user.yaml" --based-on 0 --wait 10s "${operator[@]}"
for ((p = 18000; p < port; p += 10)); do wait_for curl -fsS "127.0.0.1:$p/readyz"; done

load() {
	"$bin/clementineport" load --entries "${entries#,}" --services "$services" --rate "${RATE:-150}" --seed "$run" --deadline 2s "$@"
}

counters() {
	local a total
	for ((a = 18950; a < admin; a++)); do curl -fsS "127.0.0.1:$a/admin/stats"; echo; done
}

load --duration 10s >/dev/null # slow start of the cold targets
echo "== current and baseline policy, $user, run $run"
load --duration "${SECONDS_OF_LOAD:-20}s" --policy current,baseline --sequential --non-idempotent 0 --json >"$out/$user-policies-$run.json"
"$bin/clementineport" plot --out "$out/$user-policies-$run.svg" "$out/$user-policies-$run.json" || true
echo "== domain b is taken out of service at 8 s and returned at 18 s, $user, run $run"
load --duration 30s --json --timeline "$out/$user-move-$run.csv" >"$out/$user-move-$run.json" &
loading=$!
sleep 8
"$bin/clementineport" take-out domain b "${operator[@]}"
sleep 10
"$bin/clementineport" bring-back domain b "${operator[@]}"
wait "$loading" || true
"$bin/clementineport" plot --out "$out/$user-move-$run.svg" "$out/$user-move-$run.json" || true
cat "$out/$user-move-$run.csv"
counters >"$out/$user-stats-$run.jsonl"
