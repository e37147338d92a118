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

// monitoredPeer sends heartbeats to one instance and notices when it stops answering.
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
	// missedSentAt is when the heartbeat was sent that had no answer.
	missedSentAt time.Time
}

func newMonitoredPeer(n *node, peer fleet.Instance, report func(context.Context, fleet.Instance)) *monitoredPeer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &monitoredPeer{node: n, peer: peer, reportFailure: report, monitor: fleet.NewMonitor(time.Now()), cancel: cancel}
	w.goroutines.Go(func() {
		defer w.closeStream()
		for ctx.Err() == nil {
			w.performNext(ctx)
		}
	})
	return w
}

// close stops the heartbeats.
func (w *monitoredPeer) close() {
	w.cancel()
	w.goroutines.Wait()
}

func (w *monitoredPeer) performNext(ctx context.Context) {
	switch step := w.monitor.Next().(type) {
	case fleet.SendHeartbeat:
		if pause.For(ctx, time.Until(step.At)) {
			w.sendHeartbeat(ctx, step.Deadline)
		}
	case fleet.SendProbe:
		if pause.For(ctx, time.Until(step.At)) {
			w.sendProbe(ctx)
		}
	}
}

func (w *monitoredPeer) sendHeartbeat(ctx context.Context, deadline time.Time) {
	sent := time.Now()
	if err := w.heartbeatOverStream(ctx, deadline); err != nil {
		w.node.counters.HeartbeatsMissed.Add(1)
		w.closeStream()
		w.monitor.RecordMissedHeartbeat(time.Now())
		w.missedSentAt = sent
		return
	}
	w.recordResponse(sent)
}

// heartbeatOverStream exchanges a heartbeat over the stream that stays open for them.
func (w *monitoredPeer) heartbeatOverStream(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if w.stream == nil {
		stream, _, err := w.node.sessions.openStream(ctx, w.peer.PeerAddress)
		if err != nil {
			return err
		}
		w.stream, w.codec = stream, newCodec(stream, w.node.counters)
	}
	if err := w.stream.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	stream := w.stream
	stop := context.AfterFunc(ctx, func() { closeQuietly(stream) })
	defer stop()
	return w.node.exchangeHeartbeat(w.codec, w.peer)
}

func (w *monitoredPeer) sendProbe(ctx context.Context) {
	sent := time.Now()
	session, err := w.node.probe(ctx, w.peer)
	if err == nil {
		w.node.sessions.replaceUnresponsive(w.peer.PeerAddress, session, w.missedSentAt)
		w.recordResponse(sent)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if w.node.sessionMonitor.health.isLocalFailure(err) {
		w.node.counters.ProbesInconclusive.Add(1)
		w.monitor.RecordInconclusiveProbe(sent)
		return
	}
	if w.monitor.RecordFailedProbe(sent) {
		w.markSuspected(err)
	}
	w.reportFailure(ctx, w.peer)
}

func (w *monitoredPeer) markSuspected(reason error) {
	w.suspected.Store(true)
	w.node.counters.Suspicions.Add(1)
	w.node.logger.Warn("instance suspected", "instance", w.peer.ID, "reason", reason)
	w.node.changes.notify()
}

func (w *monitoredPeer) recordResponse(sent time.Time) {
	if w.monitor.RecordResponse(sent, time.Now()) {
		w.suspected.Store(false)
		w.node.logger.Info("instance answers again", "instance", w.peer.ID)
		w.node.changes.notify()
	}
}

// closeStream closes the stream for heartbeats.
func (w *monitoredPeer) closeStream() {
	if w.stream != nil {
		closeQuietly(w.stream)
		w.stream, w.codec = nil, nil
	}
}
