package rollout

import (
	"math"
	"time"
)

const (
	// loadWindow is the time over which a server's load is told.
	loadWindow = time.Second
	// loadedServerShare is the part of its even share of the service's traffic from which on a
	// server is under load.
	loadedServerShare = 0.5
)

// serverLoad tells which of the target's servers have had enough of the service's traffic of late
// to be under load.
type serverLoad struct {
	byServer  map[string]float64 // answers of late, by server
	total     float64            // those of all versions
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

// underLoad reports whether a server is under load.
func (l *serverLoad) underLoad(server string) bool {
	return l.byServer[server] >= loadedServerShare*l.total/float64(len(l.byServer)) && l.byServer[server] >= 1
}

// answersPerSecond is the number of answers a second of late.
func (l *serverLoad) answersPerSecond(now time.Duration) float64 {
	return l.total * math.Exp(-float64(max(now-l.updatedAt, 0))/float64(loadWindow)) / loadWindow.Seconds()
}
