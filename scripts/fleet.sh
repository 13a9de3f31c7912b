# Functions that start and stop a fake store, fake searchers and daemons on loopback. Sourced by scripts/measure.

fleet_bin=${FLEET_BIN:-$PWD/build}
fleet_dir=
fleet_store=127.0.0.1:27600
fleet_controls=(127.0.0.1:27611 127.0.0.1:27612)
fleet_zones=(cairo-a cairo-b cairo-c cairo-d)

# fleet_spawn NAME PROGRAM ARGS...: starts a program in the background.
fleet_spawn() {
    local name=$1
    shift
    "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.log" &
    # The process id is kept in a file, because experiments restart daemons from subshells.
    echo $! >"$fleet_dir/$name.pid"
}

fleet_pid() { cat "$fleet_dir/$1.pid"; }

# fleet_wait URL: waits until the URL answers with 2xx, for at most 20 seconds.
fleet_wait() {
    for _ in $(seq 200); do
        curl -sf -m 1 -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "fleet: $1 does not answer" >&2
    tail -n 3 "$fleet_dir"/*.log >&2
    return 1
}

fleet_entry() { echo "127.0.0.1:$((27700 + $1))"; }

# fleet_daemon N FLAGS...: starts daemon N.
fleet_daemon() {
    local n=$1
    shift
    fleet_spawn "d$n" "$fleet_bin/geraniumcartd" --name "d$n" --zone "${fleet_zones[(n - 1) % 4]}" \
        --listen "$(fleet_entry "$n")" --peer-listen "127.0.0.1:$((27800 + n))" --store "$fleet_store" \
        --seeds 127.0.0.1:27801,127.0.0.1:27802 --workers "${FLEET_WORKERS:-1}" "$@"
}

# fleet_start DAEMONS CONFIG FLAGS...: starts store, searchers and daemons, and waits until all are ready.
fleet_start() {
    local count=$1 config=$2
    shift 2
    fleet_dir=$(mktemp -d)
    fleet_spawn store "$fleet_bin/geraniumcart-fakestore" --listen "$fleet_store"
    fleet_wait "http://$fleet_store/control"
    for part in 0 1; do
        fleet_spawn "searchers$part" "$fleet_bin/geraniumcart-fakesearcher" --config "$config" --part "$part/2" \
            --control "${fleet_controls[$part]}" --write-store "$fleet_store"
    done
    for control in "${fleet_controls[@]}"; do fleet_wait "http://$control/control"; done
    for n in $(seq "$count"); do fleet_daemon "$n" "$@"; done
    for n in $(seq "$count"); do fleet_wait "http://$(fleet_entry "$n")/readyz"; done
}

# fleet_stop: kills all processes of the fleet and deletes its folder.
fleet_stop() {
    [ -n "$fleet_dir" ] || return 0
    local file
    for file in "$fleet_dir"/*.pid; do
        kill -KILL "$(cat "$file")" 2>/dev/null || true
        wait "$(cat "$file")" 2>/dev/null || true
    done
    rm -rf "$fleet_dir"
    fleet_dir=
}

# fleet_control JSON: sends one command to both searcher processes.
fleet_control() {
    for control in "${fleet_controls[@]}"; do curl -sf -o /dev/null -d "$1" "http://$control/control"; done
}

# fleet_publish: makes the searchers write their catalog and hosts to the store again.
fleet_publish() {
    for control in "${fleet_controls[@]}"; do curl -sf -o /dev/null -X POST "http://$control/control/store"; done
}

# fleet_count JQ: prints the sum of a counter over both searcher processes.
fleet_count() {
    for control in "${fleet_controls[@]}"; do curl -sf "http://$control/control"; done | jq -s "map($1 // 0) | add"
}

# fleet_load ARGS...: runs the load tool and writes its report to fleet_dir/report.json.
fleet_load() {
    "$fleet_bin/geraniumcart-load" --entries "$(fleet_entry 1)" --service lend-front \
        --searcher-control "${fleet_controls[0]}" --searcher-control "${fleet_controls[1]}" \
        --json "$fleet_dir/report.json" "$@" >"$fleet_dir/report.txt"
}

# fleet_cpu NAME: prints the processor time that a process has used, in milliseconds.
fleet_cpu() {
    local ticks
    ticks=$(awk '{ print $14 + $15 }' "/proc/$(fleet_pid "$1")/stat")
    echo $((ticks * 1000 / $(getconf CLK_TCK)))
}

# fleet_rules TEXT: replaces the rules in the store, regardless of their version.
fleet_rules() {
    local version
    version=$(curl -s -o /dev/null -w '%header{object-version}' "http://$fleet_store/v1/objects/rules")
    curl -sf -o /dev/null -X PUT -H "If-Match: ${version:-0}" --data-binary "$1" "http://$fleet_store/v1/objects/rules"
}
