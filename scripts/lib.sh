# Functions that start the processes of a small fleet on loopback and kill them by process ID.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="$root/bin"
work="$(mktemp -d)"
pids=()

# start runs a program in the background and saves its process ID under a name.
start() {
	local name="$1"
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	echo "$!" >"$work/$name.pid"
}

# finish kills all processes and waits for their end.
finish() {
	local pid
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap finish EXIT

# settings writes the settings file of an entry VM. Arguments: name, failure domain, first port.
settings() {
	cat >"$work/$1.yaml" <<END
VM: $1
Domain: $2
Region: local
Listen:
  Caller: 127.0.0.1:$3
  Peer: 127.0.0.1:$(($3 + 1))
  Operator: 127.0.0.1:$(($3 + 2))
Store: ["127.0.0.1:18900"]
Directory: 127.0.0.1:18900
TokenFile: $work/token
AllowPolicy: true
Shutdown:
  AdviceLife: 2s
  Whole: 20s
END
}

# register adds a VM to the directory. Arguments: name, failure domain, first port.
register() {
	curl -fsS -X POST 127.0.0.1:18900/admin/vms -d "{\"ID\":\"$1\",\"Domain\":\"$2\",\"Caller\":\"127.0.0.1:$3\",\"Peer\":\"127.0.0.1:$(($3 + 1))\",\"Operator\":\"127.0.0.1:$(($3 + 2))\"}" >/dev/null
}

# wait_for retries a command until it succeeds, for about 20 s.
wait_for() {
	local i
	for i in $(seq 200); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	echo "timed out: $*" >&2
	return 1
}
