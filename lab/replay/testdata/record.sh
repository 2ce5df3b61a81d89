#!/bin/sh
# Records the traces again. Run it only after an intended change of the dispatcher's
# decisions.
set -eu
cd "$(dirname "$0")"
record() {
	go run ../../../cmd/banksail-lab record -workload "$1" -fault "$2" -duration-ms "$3" -about "$4" \
		experiment.yaml >"$1-$2.jsonl"
}
record light lost 300 'a pool of which a replica is lost at 20 ms and known to be gone up to 30 ms later'
record light drain 150 'a pool of which a replica drains from 15 ms on'
record light slow 300 'a pool with a replica that is thirty times slower'
record overload none 60 'a pool at 2.5 times its capacity: queueing and refusals'
record sharded repartition 120 'eight groups; half a range moves to the next group at 20 ms'
