package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
)

// maximumLoadSamples bounds the samples kept for delayed load reports.
const maximumLoadSamples = 4096

// loadHistory keeps past load samples, from which delayed reports are served.
type loadHistory struct {
	// mutex guards samples, which are ordered by time.
	mutex   sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load backend.Load
}

func (h *loadHistory) add(at time.Time, load backend.Load) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.samples = append(h.samples, loadSample{at: at, load: load})
	if len(h.samples) > maximumLoadSamples {
		h.samples = append([]loadSample(nil), h.samples[maximumLoadSamples/2:]...)
	}
}

// latestAt returns the most recent load sampled at or before the given time, or
// the zero load, that of an idle server, if there is none.
func (h *loadHistory) latestAt(at time.Time) backend.Load {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for index := len(h.samples) - 1; index >= 0; index-- {
		if !h.samples[index].at.After(at) {
			return h.samples[index].load
		}
	}
	return backend.Load{}
}

// reportedLoad returns the load that the server reports: the current one, changed
// by the load faults. It records the current load for delayed reports.
func (s *Server) reportedLoad(faults ServerFaults) *backend.Load {
	running, queued := s.slots.counts()
	now := time.Now()
	load := backend.Load{InFlight: running, Queued: queued}
	s.loads.add(now, load)
	if faults.LoadLagMilliseconds > 0 {
		load = s.loads.latestAt(now.Add(-durationOf(faults.LoadLagMilliseconds)))
	}
	if faults.LoadFactor > 0 {
		load.InFlight = int(float64(load.InFlight) * faults.LoadFactor)
		load.Queued = int(float64(load.Queued) * faults.LoadFactor)
	}
	load.Snapshots = s.snapshots(faults)
	return &load
}

func (s *Server) serveLoad(writer http.ResponseWriter, request *http.Request) {
	if _, err := s.waitUntilThawed(request.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, s.reportedLoad(s.Faults()))
}

func (s *Server) serveHealth(writer http.ResponseWriter, request *http.Request) {
	if _, err := s.waitUntilThawed(request.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	faults := s.Faults()
	writeJSON(writer, http.StatusOK, backend.Health{
		State:       s.healthState(faults),
		Incarnation: s.options.Incarnation,
		Snapshots:   s.snapshots(faults),
	})
}

// healthState returns the state that the server reports, changed by the health
// faults.
func (s *Server) healthState(faults ServerFaults) backend.HealthState {
	at := time.Now().Add(-durationOf(faults.HealthLagMilliseconds))
	switch {
	case faults.HealthState != "":
		return faults.HealthState
	case s.wasDrainingAt(at):
		return backend.HealthDraining
	case at.Sub(s.started) < s.options.ColdStart:
		return backend.HealthStarting
	default:
		return backend.HealthReady
	}
}

// drainChange is a change of ServerFaults.Draining.
type drainChange struct {
	at       time.Time
	draining bool
}

// maximumDrainChanges bounds the changes kept for delayed health reports.
const maximumDrainChanges = 256

// recordDrainChange records the time at which ServerFaults.Draining changes. It
// does nothing if the value is unchanged. The caller holds mutex.
func (s *Server) recordDrainChange(draining bool) {
	if draining == s.faults.Draining {
		return
	}
	s.drainChanges = append(s.drainChanges, drainChange{at: time.Now(), draining: draining})
	if excess := len(s.drainChanges) - maximumDrainChanges; excess > 0 {
		s.drainChanges = append([]drainChange(nil), s.drainChanges[excess:]...)
	}
}

// wasDrainingAt reports whether the server was draining at the given time.
func (s *Server) wasDrainingAt(at time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	draining := false
	for _, change := range s.drainChanges {
		if change.at.After(at) {
			break
		}
		draining = change.draining
	}
	return draining
}
