package sock

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrSilent is the cause of the end of a context whose answer did not begin or go on in time.
var ErrSilent = errors.New("the other end is silent")

// Silence ends a context when an answer does not begin or stops. Unlike a deadline it allows an answer that keeps arriving as long as its
// size and the link need.
type Silence struct {
	period time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// NewSilence returns a context that ends when the answer has not begun within first; Stop releases it. After each part of the answer, the next
// one may take the period.
func NewSilence(ctx context.Context, first, period time.Duration) (context.Context, *Silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Silence{period: period, timer: time.AfterFunc(first, func() { cancel(ErrSilent) }), cancel: cancel}
}

// Begun returns a reader of the rest of an answer that has begun.
func (s *Silence) Begun(answer io.Reader) io.Reader {
	s.timer.Reset(s.period)
	return progressReader{answer, s}
}

// Stop releases the context.
func (s *Silence) Stop() {
	s.timer.Stop()
	s.cancel(nil)
}

// progressReader restarts the period of the silence whenever something has been read.
type progressReader struct {
	io.Reader
	silence *Silence
}

func (r progressReader) Read(p []byte) (int, error) {
	read, err := r.Reader.Read(p)
	if read > 0 {
		r.silence.timer.Reset(r.silence.period)
	}
	return read, err
}
