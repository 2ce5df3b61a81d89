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

func testFingerprint(number int) quarantine.Fingerprint {
	return quarantine.FingerprintOf("GET", "h.example", fmt.Sprintf("/%d", number), nil)
}

const reviewPeriod = 100 * time.Millisecond

func wantStatus(t *testing.T, l *quarantine.Tracker, now time.Duration, fingerprint quarantine.Fingerprint, want quarantine.Status) {
	t.Helper()
	if got, _ := l.Status(now, fingerprint); got != want {
		t.Errorf("at %s: standing %d, want %d", now, got, want)
	}
}

func crashOf(number int) quarantine.Crash {
	return quarantine.Crash{ServerIncarnation: quarantine.Incarnation(number)}
}

func aloneCrashOf(number int) quarantine.Crash {
	return quarantine.Crash{ServerIncarnation: quarantine.Incarnation(number), Alone: true}
}

// A fan-out ends one server of each shard at once, and one that gets it alone.
func TestThreeCrashesOneAloneQuarantine(t *testing.T) {
	l, deadly := quarantine.NewTracker(), testFingerprint(1)
	if _, audience := l.ServerCrashed(0, deadly, crashOf(11)); audience != quarantine.AudienceAggregators {
		t.Errorf("the first crash is told to %d", audience)
	}
	for server := 12; server < 31; server++ {
		if _, audience := l.ServerCrashed(0, deadly, crashOf(server)); audience != quarantine.AudienceNone {
			t.Errorf("crash %d of the same fan-out is told to %d", server, audience)
		}
	}
	wantStatus(t, l, 0, deadly, quarantine.Suspected)
	finding, audience := l.ServerCrashed(10*time.Millisecond, deadly, aloneCrashOf(40))
	if audience != quarantine.AudienceAll || !finding.Wide {
		t.Errorf("an crash alone is told to %d, wide %v", audience, finding.Wide)
	}
	wantStatus(t, l, 10*time.Millisecond, deadly, quarantine.UnderReview)
	if at, ok := l.NextTick(); !ok || at != 10*time.Millisecond+reviewPeriod {
		t.Errorf("the review ends at %s, %v", at, ok)
	}
	if told := l.Tick(10*time.Millisecond + reviewPeriod); len(told) != 1 || !told[0].Quarantined {
		t.Errorf("told at the crash of the review: %+v", told)
	}
	wantStatus(t, l, time.Second, deadly, quarantine.Quarantined)
	wantStatus(t, l, time.Second, testFingerprint(2), quarantine.Clear)
}

// Servers that crash at the same moment, whatever ran there, quarantine nothing: an answer of
// the next server clears it.
func TestAnswerClearsSuspect(t *testing.T) {
	l, innocent := quarantine.NewTracker(), testFingerprint(1)
	for server := range 20 {
		l.ServerCrashed(0, innocent, crashOf(server))
	}
	wantStatus(t, l, 0, innocent, quarantine.Suspected)
	if finding, audience := l.Answered(innocent); audience != quarantine.AudienceAggregators || !finding.Answered {
		t.Errorf("told to %d: %+v", audience, finding)
	}
	wantStatus(t, l, 0, innocent, quarantine.Clear)
	if !l.IsEmpty() {
		t.Error("something is kept of what was cleared")
	}
}

// What runs beside a request that ends a server ends with it, and may look for the next
// server at the same moment as that request.
func TestCrashAttributedToTwoFingerprintsProvesNeither(t *testing.T) {
	l, deadly, innocent := quarantine.NewTracker(), testFingerprint(1), testFingerprint(2)
	for server := range 3 {
		l.ServerCrashed(0, deadly, crashOf(server))
		l.ServerCrashed(0, innocent, crashOf(server))
	}
	l.ServerCrashed(0, innocent, aloneCrashOf(3))
	wantStatus(t, l, 0, innocent, quarantine.UnderReview)
	l.MergeFinding(2*time.Millisecond, quarantine.Finding{Content: deadly, Crashes: []quarantine.Crash{aloneCrashOf(3)}}) // of another node
	if told := l.Tick(reviewPeriod); len(told) != 0 {
		t.Errorf("quarantined: %+v", told)
	}
	wantStatus(t, l, reviewPeriod, innocent, quarantine.Suspected)
	l.Answered(innocent)
	l.ServerCrashed(reviewPeriod, deadly, aloneCrashOf(4))
	if told := l.Tick(2 * reviewPeriod); len(told) != 1 || told[0].Content != deadly {
		t.Errorf("told: %+v", told)
	}
}

// Each of three nodes loses one server to a request that must not be repeated. The keeper
// that hears of the second tells all; the third gets it alone.
func TestAggregatorsCombineFindings(t *testing.T) {
	keeper, third, deadly := quarantine.NewTracker(), quarantine.NewTracker(), testFingerprint(1)
	for node := range 2 {
		finding, audience := quarantine.NewTracker().ServerCrashed(0, deadly, crashOf(node))
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
	wantStatus(t, third, 0, deadly, quarantine.Suspected)
	third.ServerCrashed(0, deadly, aloneCrashOf(2))
	if told := third.Tick(reviewPeriod); len(told) != 1 {
		t.Errorf("not quarantined after three ends: %+v", told)
	}
}

func TestRemovedRecordLeavesSuspect(t *testing.T) {
	l, deadly := quarantine.NewTracker(), testFingerprint(1)
	l.SetRecordedQuarantines(0, []quarantine.Fingerprint{deadly})
	wantStatus(t, l, time.Hour, deadly, quarantine.Quarantined)
	l.SetRecordedQuarantines(time.Hour, nil)
	wantStatus(t, l, time.Hour, deadly, quarantine.Suspected)
	l.ServerCrashed(time.Hour, deadly, aloneCrashOf(1))
	l.Tick(time.Hour + reviewPeriod)
	wantStatus(t, l, time.Hour+reviewPeriod, deadly, quarantine.Quarantined)
	l.SetRecordedQuarantines(time.Hour+reviewPeriod, []quarantine.Fingerprint{deadly})
	l.SetRecordedQuarantines(time.Hour+2*reviewPeriod, nil)
	l.Answered(deadly)
	wantStatus(t, l, time.Hour+2*reviewPeriod, deadly, quarantine.Clear)
}

func TestSuspectsAndQuarantinesExpire(t *testing.T) {
	l := quarantine.NewTracker()
	l.ServerCrashed(0, testFingerprint(1), crashOf(1))
	l.MergeFinding(0, quarantine.Finding{Content: testFingerprint(2), Quarantined: true})
	wantStatus(t, l, 9*time.Minute, testFingerprint(2), quarantine.Quarantined) // it came again
	l.Tick(10 * time.Minute)
	wantStatus(t, l, 10*time.Minute, testFingerprint(1), quarantine.Clear)
	wantStatus(t, l, 10*time.Minute, testFingerprint(2), quarantine.Quarantined)
}

func TestEvictionKeepsQuarantines(t *testing.T) {
	l, deadly := quarantine.NewTracker(), testFingerprint(-1)
	l.MergeFinding(0, quarantine.Finding{Content: deadly, Quarantined: true})
	for number := range 5000 {
		l.ServerCrashed(time.Duration(number), testFingerprint(number), crashOf(number))
	}
	if l.SuspectCount() > 1024 {
		t.Errorf("%d fingerprints are kept", l.SuspectCount())
	}
	wantStatus(t, l, 5000, deadly, quarantine.Quarantined)
}

// Over drawn histories of ends, answers and findings: nothing is quarantined without three
// ends, one of them alone and of a incarnation that no other suspected fingerprint claims, or two alone at
// different moments.
func TestNoQuarantineWithoutProof(t *testing.T) {
	const fingerprints, lives = 4, 6
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("proof", prop.ForAll(func(draws []uint32) string {
		l := quarantine.NewTracker()
		ends := make(map[int]map[int]bool) // of each fingerprint, what was alone
		moments, lastAlone := make(map[int]int), make(map[int]time.Duration)
		now := time.Duration(0)
		for _, draw := range draws {
			now += time.Duration(draw>>16%50) * time.Millisecond
			fingerprint, server, what := int(draw%fingerprints), int(draw>>4%lives), draw>>8%8
			if what == 0 {
				l.Answered(testFingerprint(fingerprint))
				if standing, _ := l.Status(now, testFingerprint(fingerprint)); standing != quarantine.Quarantined {
					delete(ends, fingerprint)
					delete(moments, fingerprint)
					delete(lastAlone, fingerprint)
				}
			} else {
				if ends[fingerprint] == nil {
					ends[fingerprint] = make(map[int]bool)
				}
				crash := quarantine.Crash{ServerIncarnation: quarantine.Incarnation(server + 1), Alone: what > 5}
				news := crash.Alone && !ends[fingerprint][server]
				ends[fingerprint][server] = ends[fingerprint][server] || crash.Alone
				if at, was := lastAlone[fingerprint]; news && (!was || now-at > reviewPeriod) {
					moments[fingerprint]++
				}
				if news {
					lastAlone[fingerprint] = now
				}
				if what%2 == 0 {
					l.ServerCrashed(now, testFingerprint(fingerprint), crash)
				} else {
					l.MergeFinding(now, quarantine.Finding{Content: testFingerprint(fingerprint), Crashes: []quarantine.Crash{crash}})
				}
			}
			for _, told := range l.Tick(now) {
				if fault := missingProof(ends, moments, told.Content); fault != "" {
					return fault
				}
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.UInt32())))
	properties.TestingRun(t)
}

// Where other servers crash at the same moment, the crash of one alone proves nothing; the second
// one, at another moment, does.
func TestConcurrentCrashesOfOthersWeakenProof(t *testing.T) {
	l, deadly := quarantine.NewTracker(), testFingerprint(1)
	now := time.Duration(0)
	for round := range 2 {
		for server := range 3 {
			l.ServerCrashed(now, deadly, crashOf(10*round+server))
		}
		l.ServerCrashed(now, testFingerprint(2+round), crashOf(100+round)) // a server that did not run it
		l.ServerCrashed(now, deadly, aloneCrashOf(10*round+5))
		wantStatus(t, l, now, deadly, quarantine.UnderReview)
		now += reviewPeriod
		told := l.Tick(now)
		if second := round == 1; second != (len(told) == 1) {
			t.Errorf("round %d: told %+v", round, told)
		}
		now += time.Second
	}
}

// missingProof tells what proof is missing for a quarantine.
func missingProof(ends map[int]map[int]bool, moments map[int]int, quarantined quarantine.Fingerprint) string {
	for fingerprint, own := range ends {
		if testFingerprint(fingerprint) != quarantined {
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
		if len(own) < 3 || !sole && moments[fingerprint] < 2 {
			return fmt.Sprintf("content %d quarantined after ends %v of all %v", fingerprint, own, ends)
		}
		return ""
	}
	return "quarantined without an end"
}

const fanOutTimeout = 250 * time.Millisecond

// pendingFanOut is a ledger that has seen three servers of a fan-out crash.
func pendingFanOut(deadly quarantine.Fingerprint) (*quarantine.Tracker, quarantine.Finding) {
	l := quarantine.NewTracker()
	for server := range 3 {
		l.ServerCrashed(0, deadly, crashOf(10+server))
	}
	finding, _ := l.AwaitFanOut(0, deadly)
	return l, finding
}

// While it is awaited what becomes of a fan-out under which servers crash, its fingerprint is refused
// everywhere: sent alone it would crash one more server at each node. Then it is tried alone.
func TestFanOutIsHeldUntilItsOutcome(t *testing.T) {
	deadly := testFingerprint(1)
	l, finding := pendingFanOut(deadly)
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
		wantStatus(t, one, fanOutTimeout-time.Millisecond, deadly, quarantine.UnderReview)
		one.Tick(fanOutTimeout + 2*time.Millisecond)
		wantStatus(t, one, fanOutTimeout+2*time.Millisecond, deadly, quarantine.Suspected)
	}
	answered, audience := l.Answered(deadly)
	if audience != quarantine.AudienceAll {
		t.Errorf("the answer is told to %d", audience)
	}
	other.MergeFinding(fanOutTimeout, answered)
	for _, one := range []*quarantine.Tracker{l, other} {
		wantStatus(t, one, fanOutTimeout+2*time.Millisecond, deadly, quarantine.Clear)
	}
}

// A fan-out of which all servers have ended is proof, unless others ended beside it.
func TestFanOutThatCrashesAllServersIsQuarantined(t *testing.T) {
	for what, beside := range map[string]bool{"nothing else ended": false, "others ended": true} {
		t.Run(what, func(t *testing.T) {
			deadly := testFingerprint(1)
			l, _ := pendingFanOut(deadly)
			if beside {
				l.ServerCrashed(50*time.Millisecond, testFingerprint(2), crashOf(70))
			}
			const ended = 100 * time.Millisecond
			if _, audience := l.CrashedAllServers(ended, deadly); audience != quarantine.AudienceAll {
				t.Errorf("told to %d", audience)
			}
			if !l.IsProven(deadly) {
				t.Error("it is not reviewed")
			}
			if told := l.Tick(ended + reviewPeriod); (len(told) == 1) == beside {
				t.Errorf("told %+v", told)
			}
			want := quarantine.Quarantined
			if beside {
				want = quarantine.Suspected
			}
			wantStatus(t, l, time.Second, deadly, want)
		})
	}
}
