#!/usr/bin/env bash
# Starts fakes of the users' platform and three entry VMs on loopback, sends requests and prints a summary.
# RESTORE=5s restores the store every 5 s from a copy that is 2 s old.
set -euo pipefail
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"
seconds="${SECONDS_OF_LOAD:-10}"
rate="${RATE:-100}"

start site "$bin/clementineport-standin" platform-site --settings "$work" --vms 3 --restore "${RESTORE:-0s}"
wait_for test -s "$work/vm-2.conf"
for i in 0 1 2; do
	CLEMENTINEPORT_CONFIG="$work/vm-$i.conf" start "vm-$i" "$bin/clementineport" platform --metrics-port "$((18714 + i * 10))"
done
for port in 18711 18721 18731; do wait_for curl -fsS "127.0.0.1:$port/clementineport/ready"; done
"$bin/clementineport-standin" platform-callers --directory 127.0.0.1:18713 --rate "$rate" --duration "${seconds}s"
echo "log lines of vm-0 by event:"
grep -o '"Event":"[A-Za-z]*"' "$work/vm-0.out" | sort | uniq -c | sort -rn
