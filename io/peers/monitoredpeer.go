package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/pause"
)

// monitoredPeer sends heartbeats to one instance and detects when it stops responding.
type monitoredPeer struct {
	node          *node
	peer          fleet.Instance
	reportFailure func(ctx context.Context, peer fleet.Instance)
	monitor       *fleet.Monitor
	suspected     atomic.Bool
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	stream        *yamux.Stream
	codec         *codec
	// missedSentAt is when the last heartbeat without a response was sent.
	missedSentAt time.Time
}

func newMonitoredPeer(n *node, peer fleet.Instance, report func(context.Context, fleet.Instance)) *monitoredPeer {
	ctx, cancel := context.WithCancel(context.Background())
	m := &monitoredPeer{node: n, peer: peer, reportFailure: report, monitor: fleet.NewMonitor(time.Now()), cancel: cancel}
	m.goroutines.Go(func() {
		defer m.closeStream()
		for ctx.Err() == nil {
			m.performNextAction(ctx)
		}
	})
	return m
}

// close stops the heartbeats and waits for the goroutine.
func (m *monitoredPeer) close() {
	m.cancel()
	m.goroutines.Wait()
}

func (m *monitoredPeer) performNextAction(ctx context.Context) {
	switch action := m.monitor.Next().(type) {
	case fleet.SendHeartbeat:
		if pause.For(ctx, time.Until(action.At)) {
			m.sendHeartbeat(ctx, action.Deadline)
		}
	case fleet.SendProbe:
		if pause.For(ctx, time.Until(action.At)) {
			m.sendProbe(ctx)
		}
	}
}

func (m *monitoredPeer) sendHeartbeat(ctx context.Context, deadline time.Time) {
	sent := time.Now()
	if err := m.heartbeatOverStream(ctx, deadline); err != nil {
		m.node.counters.HeartbeatsMissed.Add(1)
		m.closeStream()
		m.monitor.RecordMissedHeartbeat(time.Now())
		m.missedSentAt = sent
		return
	}
	m.recordResponse(sent)
}

// heartbeatOverStream exchanges a heartbeat over the stream that is kept open for heartbeats.
func (m *monitoredPeer) heartbeatOverStream(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if m.stream == nil {
		stream, _, err := m.node.sessions.openStream(ctx, m.peer.PeerAddress)
		if err != nil {
			return err
		}
		m.stream, m.codec = stream, newCodec(stream, m.node.counters)
	}
	if err := m.stream.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	stream := m.stream
	stop := context.AfterFunc(ctx, func() { closeQuietly(stream) })
	defer stop()
	return m.node.exchangeHeartbeat(m.codec, m.peer)
}

func (m *monitoredPeer) sendProbe(ctx context.Context) {
	sent := time.Now()
	session, err := m.node.probe(ctx, m.peer)
	if err == nil {
		m.node.sessions.replaceUnresponsive(m.peer.PeerAddress, session, m.missedSentAt)
		m.recordResponse(sent)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if m.node.sessionMonitor.health.isLocalFailure(err) {
		m.node.counters.ProbesInconclusive.Add(1)
		m.monitor.RecordInconclusiveProbe(sent)
		return
	}
	if m.monitor.RecordFailedProbe(sent) {
		m.markSuspected(err)
	}
	m.reportFailure(ctx, m.peer)
}

func (m *monitoredPeer) markSuspected(reason error) {
	m.suspected.Store(true)
	m.node.counters.Suspicions.Add(1)
	m.node.logger.Warn("instance suspected", "instance", m.peer.ID, "reason", reason)
	m.node.changes.notify()
}

func (m *monitoredPeer) recordResponse(sent time.Time) {
	if m.monitor.RecordResponse(sent, time.Now()) {
		m.suspected.Store(false)
		m.node.logger.Info("instance responds again", "instance", m.peer.ID)
		m.node.changes.notify()
	}
}

// closeStream closes the stream of the heartbeats, if it is open.
func (m *monitoredPeer) closeStream() {
	if m.stream != nil {
		closeQuietly(m.stream)
		m.stream, m.codec = nil, nil
	}
}
