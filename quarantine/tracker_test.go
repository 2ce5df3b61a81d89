package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/quarantine"
)

func contentOf(number int) quarantine.Fingerprint {
	return quarantine.FingerprintOf("GET", "h.example", fmt.Sprintf("/%d", number), nil)
}

const review = 100 * time.Millisecond

func wantStanding(t *testing.T, l *quarantine.Tracker, now time.Duration, content quarantine.Fingerprint, want quarantine.Status) {
	t.Helper()
	if got, _ := l.Status(now, content); got != want {
		t.Errorf("at %s: standing %d, want %d", now, got, want)
	}
}

func life(number int) quarantine.Crash {
	return quarantine.Crash{ServerIncarnation: quarantine.Incarnation(number)}
}

func alone(number int) quarantine.Crash {
	return quarantine.Crash{ServerIncarnation: quarantine.Incarnation(number), Alone: true}
}

// A fan-out ends one server of each shard at once, and one that gets it alone.
func TestThreeEndsOfWhichOneAloneQuarantine(t *testing.T) {
	l, deadly := quarantine.NewTracker(), contentOf(1)
	if _, audience := l.ServerCrashed(0, deadly, life(11)); audience != quarantine.AudienceAggregators {
		t.Errorf("the first end is told to %d", audience)
	}
	for server := 12; server < 31; server++ {
		if _, audience := l.ServerCrashed(0, deadly, life(server)); audience != quarantine.AudienceNone {
			t.Errorf("end %d of the same fan-out is told to %d", server, audience)
		}
	}
	wantStanding(t, l, 0, deadly, quarantine.Suspected)
	finding, audience := l.ServerCrashed(10*time.Millisecond, deadly, alone(40))
	if audience != quarantine.AudienceAll || !finding.Wide {
		t.Errorf("an end alone is told to %d, wide %v", audience, finding.Wide)
	}
	wantStanding(t, l, 10*time.Millisecond, deadly, quarantine.UnderReview)
	if at, ok := l.NextTick(); !ok || at != 10*time.Millisecond+review {
		t.Errorf("the review ends at %s, %v", at, ok)
	}
	if told := l.Tick(10*time.Millisecond + review); len(told) != 1 || !told[0].Quarantined {
		t.Errorf("told at the end of the review: %+v", told)
	}
	wantStanding(t, l, time.Second, deadly, quarantine.Quarantined)
	wantStanding(t, l, time.Second, contentOf(2), quarantine.Clear)
}

// Servers that end at the same moment, whatever ran there, quarantine nothing: an answer of
// the next server clears it.
func TestAnAnswerClears(t *testing.T) {
	l, innocent := quarantine.NewTracker(), contentOf(1)
	for server := range 20 {
		l.ServerCrashed(0, innocent, life(server))
	}
	wantStanding(t, l, 0, innocent, quarantine.Suspected)
	if finding, audience := l.Answered(innocent); audience != quarantine.AudienceAggregators || !finding.Answered {
		t.Errorf("told to %d: %+v", audience, finding)
	}
	wantStanding(t, l, 0, innocent, quarantine.Clear)
	if !l.IsEmpty() {
		t.Error("something is kept of what was cleared")
	}
}

// What runs beside a request that ends a server ends with it, and may look for the next
// server at the same moment as that request.
func TestAnEndThatTwoContentsClaimSpeaksAgainstNeither(t *testing.T) {
	l, deadly, innocent := quarantine.NewTracker(), contentOf(1), contentOf(2)
	for server := range 3 {
		l.ServerCrashed(0, deadly, life(server))
		l.ServerCrashed(0, innocent, life(server))
	}
	l.ServerCrashed(0, innocent, alone(3))
	wantStanding(t, l, 0, innocent, quarantine.UnderReview)
	l.MergeFinding(2*time.Millisecond, quarantine.Finding{Content: deadly, Crashes: []quarantine.Crash{alone(3)}}) // of another node
	if told := l.Tick(review); len(told) != 0 {
		t.Errorf("quarantined: %+v", told)
	}
	wantStanding(t, l, review, innocent, quarantine.Suspected)
	l.Answered(innocent)
	l.ServerCrashed(review, deadly, alone(4))
	if told := l.Tick(2 * review); len(told) != 1 || told[0].Content != deadly {
		t.Errorf("told: %+v", told)
	}
}

// Each of three nodes loses one server to a request that must not be repeated. The keeper
// that hears of the second tells all; the third gets it alone.
func TestKeepersBringFindingsTogether(t *testing.T) {
	keeper, third, deadly := quarantine.NewTracker(), quarantine.NewTracker(), contentOf(1)
	for node := range 2 {
		finding, audience := quarantine.NewTracker().ServerCrashed(0, deadly, life(node))
		if audience != quarantine.AudienceAggregators {
			t.Errorf("told to %d", audience)
		}
		told, audience := keeper.MergeFinding(0, finding)
		if second := node == 1; second != (audience == quarantine.AudienceAll) {
			t.Errorf("after %d findings the keeper tells %d", node+1, audience)
		}
		if audience == quarantine.AudienceAll {
			if _, again := third.MergeFinding(0, told); again != quarantine.AudienceNone {
				t.Errorf("what all were told is told again, to %d", again)
			}
		}
	}
	wantStanding(t, third, 0, deadly, quarantine.Suspected)
	third.ServerCrashed(0, deadly, alone(2))
	if told := third.Tick(review); len(told) != 1 {
		t.Errorf("not quarantined after three ends: %+v", told)
	}
}

func TestRecordsHoldAndLeaveASuspicion(t *testing.T) {
	l, deadly := quarantine.NewTracker(), contentOf(1)
	l.SetRecordedQuarantines(0, []quarantine.Fingerprint{deadly})
	wantStanding(t, l, time.Hour, deadly, quarantine.Quarantined)
	l.SetRecordedQuarantines(time.Hour, nil)
	wantStanding(t, l, time.Hour, deadly, quarantine.Suspected)
	l.ServerCrashed(time.Hour, deadly, alone(1))
	l.Tick(time.Hour + review)
	wantStanding(t, l, time.Hour+review, deadly, quarantine.Quarantined)
	l.SetRecordedQuarantines(time.Hour+review, []quarantine.Fingerprint{deadly})
	l.SetRecordedQuarantines(time.Hour+2*review, nil)
	l.Answered(deadly)
	wantStanding(t, l, time.Hour+2*review, deadly, quarantine.Clear)
}

func TestSuspicionsAndQuarantinesAreForgotten(t *testing.T) {
	l := quarantine.NewTracker()
	l.ServerCrashed(0, contentOf(1), life(1))
	l.MergeFinding(0, quarantine.Finding{Content: contentOf(2), Quarantined: true})
	wantStanding(t, l, 9*time.Minute, contentOf(2), quarantine.Quarantined) // it came again
	l.Tick(10 * time.Minute)
	wantStanding(t, l, 10*time.Minute, contentOf(1), quarantine.Clear)
	wantStanding(t, l, 10*time.Minute, contentOf(2), quarantine.Quarantined)
}

func TestAFloodOfContentsKeepsQuarantines(t *testing.T) {
	l, deadly := quarantine.NewTracker(), contentOf(-1)
	l.MergeFinding(0, quarantine.Finding{Content: deadly, Quarantined: true})
	for number := range 5000 {
		l.ServerCrashed(time.Duration(number), contentOf(number), life(number))
	}
	if l.SuspectCount() > 1024 {
		t.Errorf("%d contents are kept", l.SuspectCount())
	}
	wantStanding(t, l, 5000, deadly, quarantine.Quarantined)
}

// Over drawn histories of ends, answers and findings: nothing is quarantined without three
// ends, one of them alone and of a life that no other suspected content claims, or two alone at
// different moments.
func TestNothingIsQuarantinedWithoutProof(t *testing.T) {
	const contents, lives = 4, 6
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("proof", prop.ForAll(func(draws []uint32) string {
		l := quarantine.NewTracker()
		ends := make(map[int]map[int]bool) // of each content, what was alone
		moments, lastAlone := make(map[int]int), make(map[int]time.Duration)
		now := time.Duration(0)
		for _, draw := range draws {
			now += time.Duration(draw>>16%50) * time.Millisecond
			content, server, what := int(draw%contents), int(draw>>4%lives), draw>>8%8
			if what == 0 {
				l.Answered(contentOf(content))
				if standing, _ := l.Status(now, contentOf(content)); standing != quarantine.Quarantined {
					delete(ends, content)
					delete(moments, content)
					delete(lastAlone, content)
				}
			} else {
				if ends[content] == nil {
					ends[content] = make(map[int]bool)
				}
				end := quarantine.Crash{ServerIncarnation: quarantine.Incarnation(server + 1), Alone: what > 5}
				news := end.Alone && !ends[content][server]
				ends[content][server] = ends[content][server] || end.Alone
				if at, was := lastAlone[content]; news && (!was || now-at > review) {
					moments[content]++
				}
				if news {
					lastAlone[content] = now
				}
				if what%2 == 0 {
					l.ServerCrashed(now, contentOf(content), end)
				} else {
					l.MergeFinding(now, quarantine.Finding{Content: contentOf(content), Crashes: []quarantine.Crash{end}})
				}
			}
			for _, told := range l.Tick(now) {
				if fault := unproven(ends, moments, told.Content); fault != "" {
					return fault
				}
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.UInt32())))
	properties.TestingRun(t)
}

// Where other servers end at the same moment, the end of one alone proves nothing; the second
// one, at another moment, does.
func TestEndsBesideOthersProveLess(t *testing.T) {
	l, deadly := quarantine.NewTracker(), contentOf(1)
	now := time.Duration(0)
	for round := range 2 {
		for server := range 3 {
			l.ServerCrashed(now, deadly, life(10*round+server))
		}
		l.ServerCrashed(now, contentOf(2+round), life(100+round)) // a server that did not run it
		l.ServerCrashed(now, deadly, alone(10*round+5))
		wantStanding(t, l, now, deadly, quarantine.UnderReview)
		now += review
		told := l.Tick(now)
		if second := round == 1; second != (len(told) == 1) {
			t.Errorf("round %d: told %+v", round, told)
		}
		now += time.Second
	}
}

// unproven tells what proof is missing for a quarantine.
func unproven(ends map[int]map[int]bool, moments map[int]int, quarantined quarantine.Fingerprint) string {
	for content, own := range ends {
		if contentOf(content) != quarantined {
			continue
		}
		sole := false
		for server, alone := range own {
			claims := 0
			for _, other := range ends {
				if _, claimed := other[server]; claimed {
					claims++
				}
			}
			sole = sole || alone && claims == 1
		}
		if len(own) < 3 || !sole && moments[content] < 2 {
			return fmt.Sprintf("content %d quarantined after ends %v of all %v", content, own, ends)
		}
		return ""
	}
	return "quarantined without an end"
}

const outcome = 250 * time.Millisecond

// unanswered is a ledger that has seen three servers of a fan-out end.
func unanswered(deadly quarantine.Fingerprint) (*quarantine.Tracker, quarantine.Finding) {
	l := quarantine.NewTracker()
	for server := range 3 {
		l.ServerCrashed(0, deadly, life(10+server))
	}
	finding, _ := l.AwaitFanOut(0, deadly)
	return l, finding
}

// While it is awaited what becomes of a fan-out under which servers end, its content is refused
// everywhere: sent alone it would end one more server at each node. Then it is tried alone.
func TestTheOutcomeOfAFanOutIsAwaited(t *testing.T) {
	deadly := contentOf(1)
	l, finding := unanswered(deadly)
	if !finding.Wide || len(finding.Crashes) != 3 {
		t.Fatalf("told %+v", finding)
	}
	if _, audience := l.AwaitFanOut(0, deadly); audience != quarantine.AudienceNone {
		t.Error("it is told twice")
	}
	other := quarantine.NewTracker()
	other.MergeFinding(time.Millisecond, finding)
	other.MergeFinding(2*time.Millisecond, finding) // it is told several times
	for _, one := range []*quarantine.Tracker{l, other} {
		wantStanding(t, one, outcome-time.Millisecond, deadly, quarantine.UnderReview)
		one.Tick(outcome + 2*time.Millisecond)
		wantStanding(t, one, outcome+2*time.Millisecond, deadly, quarantine.Suspected)
	}
	answered, audience := l.Answered(deadly)
	if audience != quarantine.AudienceAll {
		t.Errorf("the answer is told to %d", audience)
	}
	other.MergeFinding(outcome, answered)
	for _, one := range []*quarantine.Tracker{l, other} {
		wantStanding(t, one, outcome+2*time.Millisecond, deadly, quarantine.Clear)
	}
}

// A fan-out of which all servers have ended is proof, unless others ended beside it.
func TestFanOutsThatEndAllServersAreQuarantined(t *testing.T) {
	for what, beside := range map[string]bool{"nothing else ended": false, "others ended": true} {
		t.Run(what, func(t *testing.T) {
			deadly := contentOf(1)
			l, _ := unanswered(deadly)
			if beside {
				l.ServerCrashed(50*time.Millisecond, contentOf(2), life(70))
			}
			const ended = 100 * time.Millisecond
			if _, audience := l.CrashedAllServers(ended, deadly); audience != quarantine.AudienceAll {
				t.Errorf("told to %d", audience)
			}
			if !l.IsProven(deadly) {
				t.Error("it is not reviewed")
			}
			if told := l.Tick(ended + review); (len(told) == 1) == beside {
				t.Errorf("told %+v", told)
			}
			want := quarantine.Quarantined
			if beside {
				want = quarantine.Suspected
			}
			wantStanding(t, l, time.Second, deadly, want)
		})
	}
}
