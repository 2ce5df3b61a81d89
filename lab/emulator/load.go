package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
)

// maximumLoadSamples bounds what is kept for lagging reports.
const maximumLoadSamples = 4096

// loadHistory keeps earlier loads, so that reports can lag.
type loadHistory struct {
	// mutex guards samples, which are in the order of their times.
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

// latestAt returns the newest load that is not younger than the given time; a
// server without one was idle.
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

// reportedLoad is the server's account of its load, with lag and lie.
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

// healthState is the server's account of its health, with lag and lie.
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

// drainChange is a switch of the Draining fault.
type drainChange struct {
	at       time.Time
	draining bool
}

// maximumDrainChanges bounds what is kept for lagging reports.
const maximumDrainChanges = 256

// recordDrainChange keeps a change of the Draining fault; mutex is held.
func (s *Server) recordDrainChange(draining bool) {
	if draining == s.faults.Draining {
		return
	}
	s.drainChanges = append(s.drainChanges, drainChange{at: time.Now(), draining: draining})
	if excess := len(s.drainChanges) - maximumDrainChanges; excess > 0 {
		s.drainChanges = append([]drainChange(nil), s.drainChanges[excess:]...)
	}
}

// wasDrainingAt reports whether the server drained at a time.
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
