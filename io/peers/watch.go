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

// watch sends heartbeats to one instance and notices when it stops answering.
type watch struct {
	node      *node
	peer      fleet.Instance
	report    func(ctx context.Context, peer fleet.Instance)
	monitor   *fleet.Monitor
	suspected atomic.Bool
	cancel    context.CancelFunc
	running   sync.WaitGroup
	stream    *yamux.Stream
	codec     *codec
	// missed is when the heartbeat was sent that had no answer.
	missed time.Time
}

func newWatch(n *node, peer fleet.Instance, report func(context.Context, fleet.Instance)) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{node: n, peer: peer, report: report, monitor: fleet.NewMonitor(time.Now()), cancel: cancel}
	w.running.Go(func() {
		defer w.hangUp()
		for ctx.Err() == nil {
			w.next(ctx)
		}
	})
	return w
}

// close stops the heartbeats.
func (w *watch) close() {
	w.cancel()
	w.running.Wait()
}

func (w *watch) next(ctx context.Context) {
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

func (w *watch) sendHeartbeat(ctx context.Context, deadline time.Time) {
	sent := time.Now()
	if err := w.overStandingStream(ctx, deadline); err != nil {
		w.node.counters.HeartbeatsMissed.Add(1)
		w.hangUp()
		w.monitor.RecordMissedHeartbeat(time.Now())
		w.missed = sent
		return
	}
	w.heard(sent)
}

// overStandingStream exchanges a heartbeat over the stream that stays open for them.
func (w *watch) overStandingStream(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if w.stream == nil {
		stream, _, err := w.node.links.open(ctx, w.peer.PeerAddress)
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
	return w.node.beat(w.codec, w.peer)
}

func (w *watch) sendProbe(ctx context.Context) {
	sent := time.Now()
	session, err := w.node.probe(ctx, w.peer)
	if err == nil {
		w.node.links.renew(w.peer.PeerAddress, session, w.missed)
		w.heard(sent)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if w.node.keeper.health.excuses(err) {
		w.node.counters.ProbesExcused.Add(1)
		w.monitor.RecordInconclusiveProbe(sent)
		return
	}
	if w.monitor.RecordFailedProbe(sent) {
		w.suspect(err)
	}
	w.report(ctx, w.peer)
}

func (w *watch) suspect(reason error) {
	w.suspected.Store(true)
	w.node.counters.Suspicions.Add(1)
	w.node.logger.Warn("instance suspected", "instance", w.peer.ID, "reason", reason)
	w.node.changes.notify()
}

func (w *watch) heard(sent time.Time) {
	if w.monitor.RecordResponse(sent, time.Now()) {
		w.suspected.Store(false)
		w.node.logger.Info("instance answers again", "instance", w.peer.ID)
		w.node.changes.notify()
	}
}

// hangUp closes the stream for heartbeats.
func (w *watch) hangUp() {
	if w.stream != nil {
		closeQuietly(w.stream)
		w.stream, w.codec = nil, nil
	}
}
