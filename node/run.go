package node

import (
	"context"
	"io"
	"log"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/dispatch"
)

const (
	// leaveTimeout bounds the announcement that the node is leaving.
	leaveTimeout = time.Second
	// controlStopTimeout bounds the end of the operators' and peers' listeners.
	controlStopTimeout = 2 * time.Second
)

// Run serves until ctx ends, then stops as planned: it refuses new and queued
// queries as not run, finishes the running ones, and returns nil. After Abort
// it cuts what is in flight and returns ErrAborted. Every goroutine that it
// started has ended when it returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.abort()
	listeners, err := n.openListeners()
	if err != nil {
		return err
	}
	n.publishAddresses(listeners)
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	var duties sync.WaitGroup
	n.startBackgroundTasks(control, &duties)
	failures := make(chan error, len(listeners))
	var serving sync.WaitGroup
	for _, server := range listeners {
		serving.Go(func() {
			if err := server.serve(); err != nil {
				failures <- err
			}
		})
	}
	var failure error
	select {
	case <-ctx.Done():
	case <-n.background.Done():
	case failure = <-failures:
		n.log.Error().Err(failure).Msg("a listener failed; stopping")
	}
	n.stop(listeners)
	stopControl()
	duties.Wait()
	n.stopListeners(listeners[1:], controlStopTimeout)
	serving.Wait()
	n.workers.close()
	n.closeConnections()
	return n.exitError(failure)
}

// Abort ends the node at once: queries in flight are cut. Run returns ErrAborted.
func (n *Node) Abort() {
	n.logAborted() // before they are cut: 0.9% of plays found none left to name
	n.abort()
}

func (n *Node) exitError(failure error) error {
	if n.background.Err() != nil {
		return ErrAborted
	}
	return failure
}

func (n *Node) publishAddresses(listeners []*listener) {
	n.addresses = Addresses{
		Caller:   listeners[0].socket.Addr().String(),
		Operator: listeners[1].socket.Addr().String(),
		Peer:     listeners[2].socket.Addr().String(),
	}
	n.log.Info().
		Str("caller", n.addresses.Caller).
		Str("operator", n.addresses.Operator).
		Str("peer", n.addresses.Peer).
		Msg("listening")
	close(n.listening)
}

// startBackgroundTasks starts all that runs beside the queries.
func (n *Node) startBackgroundTasks(ctx context.Context, duties *sync.WaitGroup) {
	n.replicator.Subscribe(n.configure)
	n.agent.SubscribeServers(n.handleServerStateChange)
	n.agent.SubscribeDoubts(n.poller.requestRecheck)
	duties.Go(func() { n.logTaskError("configuration", n.replicator.Run(ctx)) })
	duties.Go(func() { n.logTaskError("peers", n.agent.Run(ctx)) })
	duties.Go(func() { n.poller.run(ctx) })
	duties.Go(func() { n.watchMembers(ctx) })
}

func (n *Node) logTaskError(duty string, err error) {
	if err != nil {
		n.log.Error().Err(err).Str("duty", duty).Msg("duty ended with an error")
	}
}

// stop carries out the planned stop of the query path; an abort cuts it short.
func (n *Node) stop(listeners []*listener) {
	n.stopping.Store(true)
	n.forwardServer.close()
	n.log.Info().Msg("stopping: new and queued queries are refused")
	for _, serviceShard := range n.allShards() {
		serviceShard.step(dispatch.Stopping{})
	}
	n.announceLeaving()
	n.waitGracePeriod()
	listeners[0].shutdown(n.background)
	n.running.Wait()
	for _, serviceShard := range n.allShards() {
		serviceShard.close()
	}
	n.running.Wait()
	n.forwardServer.wait()
}

// announceLeaving tells other nodes that this one takes no new work.
func (n *Node) announceLeaving() {
	ctx, cancel := context.WithTimeout(n.background, leaveTimeout)
	defer cancel()
	n.agent.Leave(ctx)
}

// waitGracePeriod keeps the listeners open so that callers see the node's state.
func (n *Node) waitGracePeriod() {
	grace := time.NewTimer(n.options.Settings.Stop.Grace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-n.background.Done():
	}
}

// logAborted names the requests that an abort cuts.
func (n *Node) logAborted() {
	var cut []string
	for _, serviceShard := range n.allShards() {
		cut = append(cut, serviceShard.pendingRequestIDs()...)
	}
	slices.Sort(cut)
	n.log.Warn().Int("requests", len(cut)).Strs("request_ids", cut).Msg("aborted: requests in flight are cut")
}

func (n *Node) stopListeners(listeners []*listener, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(n.background, timeout)
	defer cancel()
	for _, server := range listeners {
		server.shutdown(ctx)
	}
}

func (n *Node) closeConnections() {
	n.client.CloseIdleConnections()
	n.peerClient.CloseIdleConnections()
	n.forwarder.CloseIdleConnections()
}

// newServerLog passes net/http's complaints to the log at debug level.
func newServerLog(logger zerolog.Logger) *log.Logger {
	return log.New(serverLog{logger: logger}, "", 0)
}

type serverLog struct{ logger zerolog.Logger }

var _ io.Writer = serverLog{}

// Write logs one complaint.
func (s serverLog) Write(line []byte) (int, error) {
	s.logger.Debug().Msg(string(line))
	return len(line), nil
}
