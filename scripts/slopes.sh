#!/usr/bin/env bash
# Measures the unit costs that docs/CAPACITY.md multiplies: CPU time of a target call and of the control plane, memory,
# control bytes and store calls of real processes on loopback. Figures depend on the other load of the machine.
#
#   scripts/slopes.sh calls SHARDS RATE SECONDS       one entry VM, one service of SHARDS shards
#   scripts/slopes.sh control VMS SECONDS             VMS idle entry VMs
#   scripts/slopes.sh domain VMS SECONDS              store calls after all VMs of one of four domains are lost
#   scripts/slopes.sh idle TARGETS                    one entry VM with a configuration of TARGETS targets
#   scripts/slopes.sh connections TARGETS             one entry VM with idle connections to TARGETS targets
set -euo pipefail
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"

ticks_per_second="$(getconf CLK_TCK)"

# estate prints the text of an estate in which target I holds shard I modulo the number of shards.
# Arguments: number of targets, shards and domains.
estate() {
	awk -v targets="$1" -v shards="$2" -v domains="$3" 'BEGIN {
		split("a b c d", name, " ")
		printf "Region: local\nDomains: ["
		for (d = 1; d <= domains; d++) printf("%s%s", (d > 1 ? ", " : ""), name[d])
		print "]\n\nServices:\n  - {Name: lookup, DependsOn: [lookup], Index: lookup, Deadline: 2s, Class: interactive, LeastCoverage: 1, BelowLeast: mark, Prefer: coverage}"
		printf "\nIndexes:\n  - {Name: lookup, Layouts: [{Layout: 1, Shards: %d}]}\n", shards
		print "\nGroups:\n  - {Name: lookup, Index: lookup, Slots: 100, Queue: 100, Connections: 100, ConnectionCost: 1ms}\n\nTargets:"
		for (t = 0; t < targets; t++)
			printf "  - {ID: lookup-%04d, Group: lookup, Address: \"127.0.0.1:%d\", Domain: %s, Holds: [{Layout: 1, Shards: [%d]}]}\n", t, 20000 + t, name[1 + t % domains], t % shards
	}'
}

# processor prints the CPU seconds that a process has used. Argument: name.
processor() {
	awk -v hz="$ticks_per_second" '{ sub(/.*\) /, ""); print ($12 + $13) / hz }' "/proc/$(cat "$work/$1.pid")/stat"
}

# resident prints the resident memory of a process in kB. Argument: name.
resident() { awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$work/$1.pid")/status"; }

# heap prints the bytes of live heap and stacks of the first entry VM, after a garbage collection.
heap() {
	curl -fsS -H "Authorization: Bearer $(cat "$work/token")" "127.0.0.1:18002/debug/pprof/heap?gc=1&debug=1" |
		awk '/^# HeapAlloc =/ { h = $4 } /^# Stack =/ { s = $4 } END { print h + s }'
}

# sockets prints the number of open sockets of the first entry VM.
sockets() { find "/proc/$(cat "$work/vm-0.pid")/fd" -lname 'socket:*' | wc -l; }

# metric prints the sum of the counters whose names match a pattern. Arguments: first port of an entry VM, pattern.
metric() {
	curl -fsS "127.0.0.1:$(($1 + 2))/metrics" | awk -v p="$2" '$1 ~ p { s += $2 } END { print s + 0 }'
}

# fleet starts the store and entry VMs. Arguments: number of entry VMs and of domains.
fleet() {
	local i names=(a b c d) domain
	head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/token"
	start store "$bin/clementineport-standin" store --listen 127.0.0.1:18900 --lag 0s
	wait_for curl -fsS 127.0.0.1:18900/v1/vms
	for i in $(seq 0 $(($1 - 1))); do
		domain="${names[$((i % $2))]}"
		settings "vm-$i" "$domain" $((18000 + 10 * i))
		register "vm-$i" "$domain" $((18000 + 10 * i))
		start "vm-$i" "$bin/clementineport" entry --settings "$work/vm-$i.yaml"
	done
	for i in $(seq 0 $(($1 - 1))); do wait_for curl -fsS "127.0.0.1:$((18000 + 10 * i))/livez"; done
}

# submit submits an estate and waits until it is in force. Arguments: file, revision that it is based on.
submit() {
	"$bin/clementineport" submit "$1" --based-on "$2" --wait 20s --operator 127.0.0.1:18002 --token-file "$work/token"
}

calls() {
	local branches="$1" rate="$2" seconds="$3" before after cpu0 cpu1
	fleet 1 1
	start targets "$bin/clementineport-standin" target --listen 127.0.0.1:20000 --count "$branches" \
		--service-time 5ms --slots 100 --queue 100 --connections 200
	estate "$branches" "$branches" 1 >"$work/estate.yaml"
	submit "$work/estate.yaml" 0 >/dev/null
	wait_for curl -fsS 127.0.0.1:18000/readyz
	load=("$bin/clementineport" load --entries 127.0.0.1:18000 --services lookup --deadline 2s)
	"${load[@]}" --rate "$rate" --duration 5s >/dev/null || true
	cpu0=$(processor vm-0) before=$(metric 18000 relay_calls_total)
	if [ -n "${PROFILE:-}" ]; then
		curl -fsS -H "Authorization: Bearer $(cat "$work/token")" -o "$PROFILE" "127.0.0.1:18002/debug/pprof/profile?seconds=$((seconds - 2))" &
	fi
	"${load[@]}" --rate "$rate" --duration "${seconds}s" || true
	cpu1=$(processor vm-0) after=$(metric 18000 relay_calls_total)
	awk -v b="$branches" -v c=$((after - before)) -v cpu="$(awk "BEGIN { print $cpu1 - $cpu0 }")" -v s="$seconds" -v rss="$(resident vm-0)" \
		'BEGIN { printf "shards %d: %.0f calls/s, %.2f cores, %.1f us of CPU time per call, resident %d kB\n", b, c / s, cpu / s, 1e6 * cpu / c, rss }'
}

control() {
	local vms="$1" seconds="$2" i cpu0 cpu1 bytes0 bytes1
	fleet "$vms" 4
	estate 48 48 4 >"$work/estate.yaml"
	submit "$work/estate.yaml" 0 >/dev/null
	sleep 10
	cpu0=0 bytes0=0 cpu1=0 bytes1=0
	sums() {
		local c=0 b=0 r=0
		for i in $(seq 0 $((vms - 1))); do
			c=$(awk "BEGIN { print $c + $(processor "vm-$i") }")
			b=$(awk "BEGIN { print $b + $(metric $((18000 + 10 * i)) control_bytes_total) }")
			r=$((r + $(resident "vm-$i")))
		done
		echo "$c $b $r"
	}
	read -r cpu0 bytes0 _ < <(sums)
	views0=$(metric 18000 view_publications_total)
	store0=$(curl -fsS 127.0.0.1:18900/admin/counters)
	sleep "$seconds"
	read -r cpu1 bytes1 rss < <(sums)
	awk -v n="$vms" -v s="$seconds" -v c0="$cpu0" -v c1="$cpu1" -v b0="$bytes0" -v b1="$bytes1" -v r="$rss" \
		'BEGIN { printf "VMs %d: each %.2f%% of a core, %.0f control bytes/s (sent and received), resident %.0f kB\n", n, 100 * (c1 - c0) / s / n, (b1 - b0) / s / n, r / n }'
	echo "views published by one VM: $(($(metric 18000 view_publications_total) - views0)) in $seconds s"
	echo "store before: $store0"
	echo "store after $seconds s: $(curl -fsS 127.0.0.1:18900/admin/counters)"
}

domain() {
	local i
	fleet "$1" 4
	estate 48 48 4 >"$work/estate.yaml"
	submit "$work/estate.yaml" 0 >/dev/null
	sleep 20
	echo "idle: $(curl -fsS 127.0.0.1:18900/admin/counters)"
	sleep "$2"
	echo "$2 s later, domain a is lost: $(curl -fsS 127.0.0.1:18900/admin/counters)"
	for i in $(seq 0 4 $(($1 - 1))); do kill -KILL "$(cat "$work/vm-$i.pid")"; done
	sleep "$2"
	echo "$2 s later: $(curl -fsS 127.0.0.1:18900/admin/counters)"
}

idle() {
	fleet 1 1
	local empty empty_heap
	sleep 3
	empty=$(resident vm-0) empty_heap=$(heap)
	estate "$1" "$((($1 + 2) / 3))" 1 >"$work/estate.yaml"
	submit "$work/estate.yaml" 0 >/dev/null
	sleep 3
	echo "targets $1: estate $(wc -c <"$work/estate.yaml") bytes, $(gzip -9 <"$work/estate.yaml" | wc -c) with gzip;" \
		"heap and stacks $empty_heap bytes without the estate and $(heap) with it; resident $empty kB and $(resident vm-0) kB"
}

connections() {
	fleet 1 1
	start targets "$bin/clementineport-standin" target --listen 127.0.0.1:20000 --count "$1" --service-time 5ms --slots 100 --queue 100 --connections 200
	estate "$1" "$1" 1 >"$work/estate.yaml"
	submit "$work/estate.yaml" 0 >/dev/null
	wait_for curl -fsS 127.0.0.1:18000/readyz
	sleep 2
	local before_heap before
	before_heap=$(heap) before=$(sockets)
	"$bin/clementineport" load --entries 127.0.0.1:18000 --services lookup --deadline 2s --rate 10 --duration 5s >"$work/load.txt" || true
	sleep 3
	echo "targets $1: $before sockets and $before_heap bytes of heap and stacks before, $(sockets) sockets and $(heap) bytes after"
	grep -E "lookup|verdicts" "$work/load.txt"
}

"$@"
