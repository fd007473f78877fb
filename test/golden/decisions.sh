#!/bin/bash
# Plays short days of both sites (small twins) in the simulator with fixed seeds and prints, for each day, hashes of all that went over the adapter's
# pipe: the events (the simulator answers each decision, so another decision gives other events), and the replies (all actions,
# with the texts of log lines). Compares them with decisions.txt, which the program gave before its code was reshaped.
#
#   test/golden/decisions.sh KIT            compare; the exit code is 1 where the events of a day differ
#   test/golden/decisions.sh KIT --update   write decisions.txt anew
#
# KIT is the folder with bin/lbsim. Where replies alone differ, texts of log lines do. Days are played one at a time.
set -euo pipefail
kit=$(cd "${1:?the folder of the kit is expected}" && pwd)
mode=${2:-}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
# The simulator keeps its journal beside the deploy file: its entries stay with the others.
finish() {
	if [ -d "$work/journal" ]; then
		cp -rn "$work/journal/." "$here/../../journal/"
	fi
	rm -rf "$work"
}
trap finish EXIT

(cd "$here/../.." && go build -o "$work/simadapter" ./cmd/simadapter)
cat > "$work/adapter" <<END
#!/bin/bash
tee "$work/events" | "$work/simadapter" | tee "$work/replies"
END
chmod +x "$work/adapter"
printf 'build = "true"\nrun = "true"\nsim = "exec %s"\npolicy = []\nnode = []\npackages = []\n' "$work/adapter" > "$work/balancer.toml"

hash() { sha256sum "$1" | cut -c1-32; }

play() { # SITE NAME SEED KIND [OPTION...]
	local site=$1 name=$2 seed=$3 kind=$4
	shift 4
	rm -f "$work/events" "$work/replies"
	if ! (cd "$work" && "$kit/bin/lbsim" run "$site" --seed "$seed" --kind "$kind" "$@" --procs 1 --jobs 1 --deploy "$work/balancer.toml" \
		--why "sequence of decisions" > "$work/log" 2>&1); then
		echo "$name $kind $seed: the simulator failed" >&2
		tail -5 "$work/log" >&2
		exit 2
	fi
	echo "$name $kind $seed events=$(hash "$work/events") replies=$(hash "$work/replies")"
}

for day in "1 trouble" "2 overload" "3 big"; do
	play "$kit/sites/tallinn-tiles.toml" tallinn-tiles $day --small-twin
	play "$kit/users/abuja-booking.toml" abuja-booking $day --small-twin
done > "$work/decisions.txt"

if [ "$mode" = --update ]; then
	cp "$work/decisions.txt" "$here/decisions.txt"
	exit
fi
if diff "$here/decisions.txt" "$work/decisions.txt"; then
	echo "all days as they were: $(wc -l < "$work/decisions.txt")"
elif diff <(sed 's/ replies=.*//' "$here/decisions.txt") <(sed 's/ replies=.*//' "$work/decisions.txt") > "$work/diff"; then
	echo "the same decisions; texts of log lines differ"
else
	exit 1
fi
