package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	first  = Holder{Node: "node-1", Incarnation: 1}
	second = Holder{Node: "node-2", Incarnation: 1}
)

func TestTable(t *testing.T) {
	type step struct {
		at       time.Duration
		holder   Holder
		sequence uint64
		release  bool
		want     Verdict
	}
	tests := map[string][]step{
		"first holder is granted, another is told who holds": {
			{holder: first, want: Granted}, {holder: second, want: Held},
		},
		"same holder repeats its claim": {
			{holder: first, want: Granted}, {holder: first, want: Granted},
		},
		"same node in a later incarnation is another holder": {
			{holder: first, want: Granted}, {holder: Holder{Node: "node-1", Incarnation: 2}, want: Held},
		},
		"released claim is free": {
			{holder: first, want: Granted}, {holder: first, release: true}, {holder: second, want: Granted},
		},
		"release by another holder changes nothing": {
			{holder: first, want: Granted}, {holder: second, release: true}, {holder: second, want: Held},
		},
		"late release does not undo a later claim": {
			{holder: first, sequence: 1, want: Granted},
			{holder: first, sequence: 2, want: Granted},
			{holder: first, sequence: 1, release: true},
			{holder: second, want: Held},
		},
		"claim lapses after its window": {
			{holder: first, want: Granted}, {at: time.Minute, holder: second, want: Granted},
		},
		"repeated claim is kept for a whole window": {
			{holder: first, want: Granted},
			{at: 40 * time.Second, holder: first, want: Granted},
			{at: 70 * time.Second, holder: second, want: Held},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(TableOptions{TTL: time.Minute})
			for i, step := range steps {
				claim := Claim{Key: "key", Holder: step.holder, Sequence: step.sequence}
				if step.release {
					table.Release(claim)
					continue
				}
				if got := table.Claim(step.at, claim); got.Verdict != step.want {
					t.Fatalf("step %d: verdict %d, want %d", i, got.Verdict, step.want)
				}
			}
		})
	}
}

func TestFullTableKeepsActiveClaims(t *testing.T) {
	table := NewTable(TableOptions{MaxClaims: 1})
	table.Claim(0, Claim{Key: "a", Holder: first})
	if got := table.Claim(0, Claim{Key: "b", Holder: first}); got.Verdict != Full {
		t.Fatalf("verdict %d, want Full", got.Verdict)
	}
	if got := table.Claim(0, Claim{Key: "a", Holder: second}); got.Verdict != Held {
		t.Fatalf("verdict %d, want Held", got.Verdict)
	}
}

func TestRound(t *testing.T) {
	granted, held := Answer{Verdict: Granted}, Answer{Verdict: Held, Holder: first}
	tests := map[string]struct {
		owners  int
		answers []Answer
		failed  int
		closed  bool
		want    Decision
	}{
		"no other node":                   {want: Won},
		"all grant":                       {owners: 3, answers: []Answer{granted, granted, granted}, want: Won},
		"waits for the third":             {owners: 3, answers: []Answer{granted, granted}, want: Undecided},
		"majority suffices when closed":   {owners: 3, answers: []Answer{granted, granted}, closed: true, want: Won},
		"one of three is too few":         {owners: 3, answers: []Answer{granted}, failed: 2, want: Unavailable},
		"one holder elsewhere is enough":  {owners: 3, answers: []Answer{granted, granted, held}, want: Lost},
		"a full owner is no grant":        {owners: 1, answers: []Answer{{Verdict: Full}}, want: Unavailable},
		"the only other node has to know": {owners: 1, failed: 1, want: Unavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			round := NewRound(test.owners)
			for _, answer := range test.answers {
				round.AddAnswer(answer)
			}
			for range test.failed {
				round.AddFailure()
			}
			if test.closed {
				round.Close()
			}
			if got := round.Decision(); got != test.want {
				t.Fatalf("decision %d, want %d", got, test.want)
			}
		})
	}
}

// TestAtMostOneRoundWins lets several nodes claim one key at the same owners in
// random order, with random owners unreachable for each of them.
func TestAtMostOneRoundWins(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("at most one round wins", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 0))
		tables := []*Table{NewTable(TableOptions{}), NewTable(TableOptions{}), NewTable(TableOptions{})}
		rounds := make([]*Round, 4)
		type call struct{ claimant, owner int }
		var calls []call
		for claimant := range rounds {
			rounds[claimant] = NewRound(len(tables))
			for owner := range tables {
				calls = append(calls, call{claimant, owner})
			}
		}
		random.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
		for _, call := range calls {
			if random.IntN(4) == 0 {
				rounds[call.claimant].AddFailure()
				continue
			}
			holder := Holder{Node: fmt.Sprint(call.claimant)}
			rounds[call.claimant].AddAnswer(tables[call.owner].Claim(0, Claim{Key: "key", Holder: holder}))
		}
		won := 0
		for _, round := range rounds {
			if round.Decision() == Won {
				won++
			}
		}
		return won <= 1
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestNodeRemovalChangesAtMostOneOwner guards against an owner choice that
// moves more than one owner of a key when a node leaves.
func TestNodeRemovalChangesAtMostOneOwner(t *testing.T) {
	nodes := make([]string, 20)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("node-%d", i)
	}
	for k := range 200 {
		key := fmt.Sprintf("key-%d", k)
		before := Owners(key, nodes)
		after := Owners(key, nodes[1:])
		kept := 0
		for _, owner := range before {
			for _, other := range after {
				if owner == other {
					kept++
				}
			}
		}
		if kept < OwnersPerRequest-1 {
			t.Fatalf("%s: owners changed from %v to %v, want at most one changed", key, before, after)
		}
	}
}

func TestAdoptedClaim(t *testing.T) {
	active := ActiveClaim{Claim: Claim{Key: "key", Holder: first}, Remaining: 10 * time.Second}
	claimed := Claim{Key: "key", Holder: second}
	tests := map[string]struct {
		before *Claim
		at     time.Duration
		want   Verdict
	}{
		"is held for the time that remained": {at: 9 * time.Second, want: Held},
		"lapses after it":                    {at: 10 * time.Second, want: Granted},
		"does not displace a known claim":    {before: &claimed, at: time.Second, want: Granted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(TableOptions{TTL: time.Minute})
			if test.before != nil {
				table.Claim(0, *test.before)
			}
			table.Adopt(0, active)
			if got := table.Claim(test.at, claimed); got.Verdict != test.want {
				t.Fatalf("verdict %d, want %d", got.Verdict, test.want)
			}
		})
	}
}
