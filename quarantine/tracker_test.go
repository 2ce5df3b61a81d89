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

func wantStatus(t *testing.T, tracker *quarantine.Tracker, now time.Duration, fingerprint quarantine.Fingerprint, want quarantine.Status) {
	t.Helper()
	if got, _ := tracker.Status(now, fingerprint); got != want {
		t.Errorf("at %s: status %d, want %d", now, got, want)
	}
}

func crashOf(number int) quarantine.Crash {
	return quarantine.Crash{ServerIncarnation: quarantine.Incarnation(number)}
}

func aloneCrashOf(number int) quarantine.Crash {
	return quarantine.Crash{ServerIncarnation: quarantine.Incarnation(number), Alone: true}
}

// A poison request crashes one server of each shard in a fan-out, then the server that runs it
// alone. The last crash starts the review and leads to quarantine.
func TestThreeCrashesOneAloneQuarantine(t *testing.T) {
	tracker, poison := quarantine.NewTracker(), testFingerprint(1)
	if _, audience := tracker.ServerCrashed(0, poison, crashOf(11)); audience != quarantine.AudienceAggregators {
		t.Errorf("audience of the first crash: %d, want aggregators", audience)
	}
	for server := 12; server < 31; server++ {
		if _, audience := tracker.ServerCrashed(0, poison, crashOf(server)); audience != quarantine.AudienceNone {
			t.Errorf("audience of crash %d of the same fan-out: %d, want none", server, audience)
		}
	}
	wantStatus(t, tracker, 0, poison, quarantine.Suspected)
	finding, audience := tracker.ServerCrashed(10*time.Millisecond, poison, aloneCrashOf(40))
	if audience != quarantine.AudienceAll || !finding.Wide {
		t.Errorf("audience of a crash with Alone set: %d, wide %v; want all nodes", audience, finding.Wide)
	}
	wantStatus(t, tracker, 10*time.Millisecond, poison, quarantine.UnderReview)
	if at, ok := tracker.NextTick(); !ok || at != 10*time.Millisecond+reviewPeriod {
		t.Errorf("next tick at %s, %v; want the end of the review", at, ok)
	}
	if findings := tracker.Tick(10*time.Millisecond + reviewPeriod); len(findings) != 1 || !findings[0].Quarantined {
		t.Errorf("findings at the end of the review: %+v, want one quarantine", findings)
	}
	wantStatus(t, tracker, time.Second, poison, quarantine.Quarantined)
	wantStatus(t, tracker, time.Second, testFingerprint(2), quarantine.Clear)
}

// Servers that crash at the same time, whatever they ran, are no proof: an answer of the next
// server clears the suspect.
func TestAnswerClearsSuspect(t *testing.T) {
	tracker, harmless := quarantine.NewTracker(), testFingerprint(1)
	for server := range 20 {
		tracker.ServerCrashed(0, harmless, crashOf(server))
	}
	wantStatus(t, tracker, 0, harmless, quarantine.Suspected)
	if finding, audience := tracker.Answered(harmless); audience != quarantine.AudienceAggregators || !finding.Answered {
		t.Errorf("audience %d, finding %+v; want an answer to aggregators", audience, finding)
	}
	wantStatus(t, tracker, 0, harmless, quarantine.Clear)
	if !tracker.IsEmpty() {
		t.Error("tracker is not empty after the suspect was cleared")
	}
}

// A harmless request that runs on the same server as a poison request fails with it, and both may
// be sent to the same next server. A crash attributed to both must not count against either alone.
func TestCrashAttributedToTwoFingerprintsProvesNeither(t *testing.T) {
	tracker, poison, harmless := quarantine.NewTracker(), testFingerprint(1), testFingerprint(2)
	for server := range 3 {
		tracker.ServerCrashed(0, poison, crashOf(server))
		tracker.ServerCrashed(0, harmless, crashOf(server))
	}
	tracker.ServerCrashed(0, harmless, aloneCrashOf(3))
	wantStatus(t, tracker, 0, harmless, quarantine.UnderReview)
	tracker.MergeFinding(2*time.Millisecond, quarantine.Finding{Content: poison, Crashes: []quarantine.Crash{aloneCrashOf(3)}}) // from another node
	if findings := tracker.Tick(reviewPeriod); len(findings) != 0 {
		t.Errorf("quarantined %+v, want none", findings)
	}
	wantStatus(t, tracker, reviewPeriod, harmless, quarantine.Suspected)
	tracker.Answered(harmless)
	tracker.ServerCrashed(reviewPeriod, poison, aloneCrashOf(4))
	if findings := tracker.Tick(2 * reviewPeriod); len(findings) != 1 || findings[0].Content != poison {
		t.Errorf("findings %+v, want one on the poison request", findings)
	}
}

// Each of three nodes sees one server crash under a request that must not be repeated. The
// aggregator broadcasts the finding after the second crash; the third server runs the request alone.
func TestAggregatorsCombineFindings(t *testing.T) {
	aggregator, third, poison := quarantine.NewTracker(), quarantine.NewTracker(), testFingerprint(1)
	for node := range 2 {
		finding, audience := quarantine.NewTracker().ServerCrashed(0, poison, crashOf(node))
		if audience != quarantine.AudienceAggregators {
			t.Errorf("audience of the node's first crash: %d, want aggregators", audience)
		}
		merged, audience := aggregator.MergeFinding(0, finding)
		if second := node == 1; second != (audience == quarantine.AudienceAll) {
			t.Errorf("aggregator's audience after %d findings: %d", node+1, audience)
		}
		if audience == quarantine.AudienceAll {
			if _, again := third.MergeFinding(0, merged); again != quarantine.AudienceNone {
				t.Errorf("a broadcast finding is sent again, to %d", again)
			}
		}
	}
	wantStatus(t, third, 0, poison, quarantine.Suspected)
	third.ServerCrashed(0, poison, aloneCrashOf(2))
	if findings := third.Tick(reviewPeriod); len(findings) != 1 {
		t.Errorf("not quarantined after three crashes: %+v", findings)
	}
}

func TestRemovedRecordLeavesSuspect(t *testing.T) {
	tracker, poison := quarantine.NewTracker(), testFingerprint(1)
	tracker.SetRecordedQuarantines(0, []quarantine.Fingerprint{poison})
	wantStatus(t, tracker, time.Hour, poison, quarantine.Quarantined)
	tracker.SetRecordedQuarantines(time.Hour, nil)
	wantStatus(t, tracker, time.Hour, poison, quarantine.Suspected)
	tracker.ServerCrashed(time.Hour, poison, aloneCrashOf(1))
	tracker.Tick(time.Hour + reviewPeriod)
	wantStatus(t, tracker, time.Hour+reviewPeriod, poison, quarantine.Quarantined)
	tracker.SetRecordedQuarantines(time.Hour+reviewPeriod, []quarantine.Fingerprint{poison})
	tracker.SetRecordedQuarantines(time.Hour+2*reviewPeriod, nil)
	tracker.Answered(poison)
	wantStatus(t, tracker, time.Hour+2*reviewPeriod, poison, quarantine.Clear)
}

func TestSuspectsAndQuarantinesExpire(t *testing.T) {
	tracker := quarantine.NewTracker()
	tracker.ServerCrashed(0, testFingerprint(1), crashOf(1))
	tracker.MergeFinding(0, quarantine.Finding{Content: testFingerprint(2), Quarantined: true})
	wantStatus(t, tracker, 9*time.Minute, testFingerprint(2), quarantine.Quarantined) // a new request extends the retention
	tracker.Tick(10 * time.Minute)
	wantStatus(t, tracker, 10*time.Minute, testFingerprint(1), quarantine.Clear)
	wantStatus(t, tracker, 10*time.Minute, testFingerprint(2), quarantine.Quarantined)
}

func TestEvictionKeepsQuarantines(t *testing.T) {
	tracker, poison := quarantine.NewTracker(), testFingerprint(-1)
	tracker.MergeFinding(0, quarantine.Finding{Content: poison, Quarantined: true})
	for number := range 5000 {
		tracker.ServerCrashed(time.Duration(number), testFingerprint(number), crashOf(number))
	}
	if tracker.SuspectCount() > 1024 {
		t.Errorf("%d suspects are kept, want at most 1024", tracker.SuspectCount())
	}
	wantStatus(t, tracker, 5000, poison, quarantine.Quarantined)
}

// Over random histories of crashes, answers and findings, nothing is quarantined without three
// crashes, of which either one had Alone set and is attributed to no other suspect, or two had
// Alone set at different times.
func TestNoQuarantineWithoutProof(t *testing.T) {
	const fingerprints, incarnations = 4, 6
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("proof", prop.ForAll(func(draws []uint32) string {
		tracker := quarantine.NewTracker()
		crashes := make(map[int]map[int]bool) // by fingerprint and server: whether Alone was set
		moments, lastAlone := make(map[int]int), make(map[int]time.Duration)
		now := time.Duration(0)
		for _, draw := range draws {
			now += time.Duration(draw>>16%50) * time.Millisecond
			fingerprint, server, kind := int(draw%fingerprints), int(draw>>4%incarnations), draw>>8%8
			if kind == 0 {
				tracker.Answered(testFingerprint(fingerprint))
				if status, _ := tracker.Status(now, testFingerprint(fingerprint)); status != quarantine.Quarantined {
					delete(crashes, fingerprint)
					delete(moments, fingerprint)
					delete(lastAlone, fingerprint)
				}
			} else {
				if crashes[fingerprint] == nil {
					crashes[fingerprint] = make(map[int]bool)
				}
				crash := quarantine.Crash{ServerIncarnation: quarantine.Incarnation(server + 1), Alone: kind > 5}
				isNew := crash.Alone && !crashes[fingerprint][server]
				crashes[fingerprint][server] = crashes[fingerprint][server] || crash.Alone
				if at, was := lastAlone[fingerprint]; isNew && (!was || now-at > reviewPeriod) {
					moments[fingerprint]++
				}
				if isNew {
					lastAlone[fingerprint] = now
				}
				if kind%2 == 0 {
					tracker.ServerCrashed(now, testFingerprint(fingerprint), crash)
				} else {
					tracker.MergeFinding(now, quarantine.Finding{Content: testFingerprint(fingerprint), Crashes: []quarantine.Crash{crash}})
				}
			}
			for _, finding := range tracker.Tick(now) {
				if missing := missingProof(crashes, moments, finding.Content); missing != "" {
					return missing
				}
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.UInt32())))
	properties.TestingRun(t)
}

// If other servers crash at the same time, the first crash of a server that ran the request alone
// is no proof; a second one at another time is.
func TestConcurrentCrashesOfOthersWeakenProof(t *testing.T) {
	tracker, poison := quarantine.NewTracker(), testFingerprint(1)
	now := time.Duration(0)
	for round := range 2 {
		for server := range 3 {
			tracker.ServerCrashed(now, poison, crashOf(10*round+server))
		}
		tracker.ServerCrashed(now, testFingerprint(2+round), crashOf(100+round)) // a server that did not run the request
		tracker.ServerCrashed(now, poison, aloneCrashOf(10*round+5))
		wantStatus(t, tracker, now, poison, quarantine.UnderReview)
		now += reviewPeriod
		findings := tracker.Tick(now)
		if second := round == 1; second != (len(findings) == 1) {
			t.Errorf("round %d: findings %+v", round, findings)
		}
		now += time.Second
	}
}

// missingProof describes why a quarantine lacks proof; it is empty if there is enough.
func missingProof(crashes map[int]map[int]bool, moments map[int]int, quarantined quarantine.Fingerprint) string {
	for fingerprint, own := range crashes {
		if testFingerprint(fingerprint) != quarantined {
			continue
		}
		sole := false
		for server, alone := range own {
			attributions := 0
			for _, other := range crashes {
				if _, attributed := other[server]; attributed {
					attributions++
				}
			}
			sole = sole || alone && attributions == 1
		}
		if len(own) < 3 || !sole && moments[fingerprint] < 2 {
			return fmt.Sprintf("content %d quarantined after ends %v of all %v", fingerprint, own, crashes)
		}
		return ""
	}
	return "quarantined without an end"
}

const fanOutTimeout = 250 * time.Millisecond

// pendingFanOut returns a tracker that has recorded the crash of three servers of a fan-out.
func pendingFanOut(poison quarantine.Fingerprint) (*quarantine.Tracker, quarantine.Finding) {
	tracker := quarantine.NewTracker()
	for server := range 3 {
		tracker.ServerCrashed(0, poison, crashOf(10+server))
	}
	finding, _ := tracker.AwaitFanOut(0, poison)
	return tracker, finding
}

// While the outcome of a fan-out that crashes servers is pending, all nodes reject the request:
// otherwise each node would send it alone and crash one more server. Afterwards it is sent to a
// single server.
func TestFanOutIsHeldUntilItsOutcome(t *testing.T) {
	poison := testFingerprint(1)
	tracker, finding := pendingFanOut(poison)
	if !finding.Wide || len(finding.Crashes) != 3 {
		t.Fatalf("finding %+v, want three crashes for all nodes", finding)
	}
	if _, audience := tracker.AwaitFanOut(0, poison); audience != quarantine.AudienceNone {
		t.Error("finding is broadcast twice")
	}
	other := quarantine.NewTracker()
	other.MergeFinding(time.Millisecond, finding)
	other.MergeFinding(2*time.Millisecond, finding) // a finding is sent several times
	for _, one := range []*quarantine.Tracker{tracker, other} {
		wantStatus(t, one, fanOutTimeout-time.Millisecond, poison, quarantine.UnderReview)
		one.Tick(fanOutTimeout + 2*time.Millisecond)
		wantStatus(t, one, fanOutTimeout+2*time.Millisecond, poison, quarantine.Suspected)
	}
	answered, audience := tracker.Answered(poison)
	if audience != quarantine.AudienceAll {
		t.Errorf("audience of the answer: %d, want all nodes", audience)
	}
	other.MergeFinding(fanOutTimeout, answered)
	for _, one := range []*quarantine.Tracker{tracker, other} {
		wantStatus(t, one, fanOutTimeout+2*time.Millisecond, poison, quarantine.Clear)
	}
}

// A fan-out whose servers have all crashed is proof, unless other servers crashed at the same time.
func TestFanOutThatCrashesAllServersIsQuarantined(t *testing.T) {
	for kind, othersCrashed := range map[string]bool{"nothing else ended": false, "others ended": true} {
		t.Run(kind, func(t *testing.T) {
			poison := testFingerprint(1)
			tracker, _ := pendingFanOut(poison)
			if othersCrashed {
				tracker.ServerCrashed(50*time.Millisecond, testFingerprint(2), crashOf(70))
			}
			const ended = 100 * time.Millisecond
			if _, audience := tracker.CrashedAllServers(ended, poison); audience != quarantine.AudienceAll {
				t.Errorf("audience %d, want all nodes", audience)
			}
			if !tracker.IsProven(poison) {
				t.Error("no review after all servers crashed")
			}
			if findings := tracker.Tick(ended + reviewPeriod); (len(findings) == 1) == othersCrashed {
				t.Errorf("quarantines after the review: %+v", findings)
			}
			want := quarantine.Quarantined
			if othersCrashed {
				want = quarantine.Suspected
			}
			wantStatus(t, tracker, time.Second, poison, want)
		})
	}
}
