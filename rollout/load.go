package rollout

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the exponential decay over which load is averaged.
	loadWindow = time.Second
	// loadedServerShare is the fraction of an equal share of the service's traffic from which a
	// server counts as under load.
	loadedServerShare = 0.5
)

// serverLoad tracks which of the target's servers recently received enough of the service's traffic
// to be under load.
type serverLoad struct {
	byServer  map[string]float64 // recent answers by server
	total     float64            // recent answers of all versions
	updatedAt time.Duration
}

func (l *serverLoad) add(now time.Duration, before, target []Cell) {
	factor := math.Exp(-float64(max(now-l.updatedAt, 0)) / float64(loadWindow))
	l.updatedAt = max(l.updatedAt, now)
	l.total *= factor
	for server := range l.byServer {
		l.byServer[server] *= factor
	}
	for _, cell := range before {
		l.total += float64(cell.Answers)
	}
	for _, cell := range target {
		l.total += float64(cell.Answers)
		l.byServer[cell.Server] += float64(cell.Answers)
	}
}

// underLoad reports whether a server of the target is under load.
func (l *serverLoad) underLoad(server string) bool {
	return l.byServer[server] >= loadedServerShare*l.total/float64(len(l.byServer)) && l.byServer[server] >= 1
}

// answersPerSecond returns the recent rate of answers of all versions.
func (l *serverLoad) answersPerSecond(now time.Duration) float64 {
	return l.total * math.Exp(-float64(max(now-l.updatedAt, 0))/float64(loadWindow)) / loadWindow.Seconds()
}
