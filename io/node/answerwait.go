package node

import (
	"sync"
	"time"

	"turmericpulley/io/peers"
)

const (
	// slowAnswerTime is how long an owner may take to answer before the connection to it is checked, and the time between two checks.
	slowAnswerTime = 150 * time.Millisecond
	// connectionCheckTime bounds that check, a ping that usually takes 3 ms, and 30 ms to a machine that is five times slower.
	connectionCheckTime = 200 * time.Millisecond
)

// answerWait ends the wait for an answer over a connection that has become unresponsive, as after a network partition. It is for
// requests that may run again. The connection is not closed, because other requests may not be repeated, and their answers may still
// arrive.
type answerWait struct {
	channel *peers.Channel
	timer   *time.Timer

	mu    sync.Mutex
	ended bool
	// responsiveAt is the beginning of the wait, or of the last check that found the connection responsive.
	responsiveAt time.Time
}

// newAnswerWait starts to check the connection of the channel every slowAnswerTime, until end.
func newAnswerWait(channel *peers.Channel) *answerWait {
	w := &answerWait{channel: channel, responsiveAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(slowAnswerTime, w.checkConnection)
	return w
}

// end stops the checks; the channel's deadline is not changed afterwards.
func (w *answerWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.ended = true
}

func (w *answerWait) checkConnection() {
	w.mu.Lock()
	since := w.responsiveAt
	w.mu.Unlock()
	began := time.Now()
	responsive := w.channel.IsResponsive(since, connectionCheckTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended:
	case responsive:
		w.responsiveAt = began
		w.timer.Reset(slowAnswerTime)
	default:
		w.channel.Retire()
		_ = w.channel.Conn().SetReadDeadline(time.Now())
	}
}
