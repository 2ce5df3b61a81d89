package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
)

// listRandomStream selects a random stream that differs from those of other
// users of the same seed.
const listRandomStream = 0x6c697374

// listLoop follows the machine list until ctx is cancelled. After an error, or
// maximumUnchangedWatches watches without a change, it reads the whole list.
func (a *Agent) listLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(a.seed, listRandomStream))
	limiter := rate.NewLimiter(listBytesPerSecond, listBurstBytes)
	var version uint64
	unchanged := 0 // consecutive watches without a change
	delay := listRetryBase
	for ctx.Err() == nil {
		list, err := a.readList(ctx, version)
		if err == nil {
			a.observeList(list)
		}
		a.markListAttempted()
		switch {
		case err == nil:
			version, unchanged = list.Version, 0
			delay = listRetryBase
			waitForBytes(ctx, limiter, len(list.Machines)*estimatedMachineBytes)
			sleep(ctx, jitter(random, listRetryBase))
		case errors.Is(err, machinelist.ErrUnchanged):
			delay = listRetryBase
			if unchanged++; unchanged == maximumUnchangedWatches {
				version = 0
			}
			sleep(ctx, jitter(random, listRetryBase))
		default:
			a.logger.Debug().Err(err).Msg("failed to read machine list")
			version = 0
			sleep(ctx, jitter(random, delay))
			delay = min(2*delay, maximumListRetry)
		}
	}
}

// Limits on the traffic of reading the machine list. A list larger than the
// burst is read less often.
const (
	listBytesPerSecond = 2048
	listBurstBytes     = 64 << 10
	// estimatedMachineBytes is the approximate size of one machine in the list.
	estimatedMachineBytes = 128
)

// waitForBytes waits until the limiter has admitted the bytes that were read, or
// ctx is done. It takes them in parts of at most the burst.
func waitForBytes(ctx context.Context, limiter *rate.Limiter, bytes int) {
	for bytes > 0 && ctx.Err() == nil {
		part := min(bytes, listBurstBytes)
		if limiter.WaitN(ctx, part) != nil {
			return
		}
		bytes -= part
	}
}

// readList reads the whole list if version is zero; otherwise it watches for a
// newer version for up to listWatchTimeout.
func (a *Agent) readList(ctx context.Context, version uint64) (machinelist.List, error) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	if version == 0 {
		return a.machineList.Get(ctx)
	}
	return a.machineList.Watch(ctx, version, listWatchTimeout)
}

// observeList passes the list to the node table and the server table. A list
// without machines carries no information: hasReadList stays as it is, and both
// tables ignore a list without entries of their kind.
func (a *Agent) observeList(list machinelist.List) {
	var nodes []membership.ListedNode
	var servers []membership.ListedServer
	for _, machine := range list.Machines {
		switch machine.Role {
		case machinelist.RoleNode:
			if machine.State == machinelist.StateLive {
				nodes = append(nodes, membership.ListedNode{ID: machine.ID, Address: machine.Address, Zone: machine.Zone})
			}
		case machinelist.RoleServer:
			servers = append(servers, membership.ListedServer{
				ID:          machine.ID,
				Leaving:     machine.State == machinelist.StateLeaving,
				Incarnation: machine.Incarnation,
			})
		}
	}
	a.nodes.mutex.Lock()
	a.nodes.core.ObserveList(nodes)
	a.nodes.mutex.Unlock()
	if len(list.Machines) > 0 {
		a.hasReadList.Store(true)
	}
	a.servers.update(func(core *membership.Servers) { core.ObserveList(a.now(), servers) })
}

// sleep waits for delay or until ctx is done.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
