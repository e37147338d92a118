package pgsrv

import (
	"fmt"
	"time"

	"turmericpulley/core/budget"
)

const (
	// messageCopies is how many times the bytes of a large message are in memory while it is served: as it arrived, as the statement's
	// text and on its way to a member.
	messageCopies = 3
	// statementOverheadBytes is what a prepared statement or a portal takes beside its texts.
	statementOverheadBytes = 256
	// slowCheckInterval is the time between two searches for connections whose message takes too long.
	slowCheckInterval = time.Second
)

// noRoom is the error for a caller whose message the instance has no memory for.
type noRoom struct {
	length int
}

// Error returns the description for the caller.
func (n *noRoom) Error() string {
	return fmt.Sprintf("not run: this instance has no memory left for a message of %d bytes; connect again later, or to another instance", n.length)
}

// admitMessage takes the bytes of a message into the budget before its body is read. A single message always fits, also when the budget
// has no room for its copies. A large message that begins a batch waits for the last answer, as the batch does anyway.
func (c *connection) admitMessage(length int) error {
	if length > maxPreallocatedBytes && c.batch == nil {
		if err := c.completeLastBatch(); err != nil {
			return err
		}
		c.unansweredBytes = 0
	}
	room := int(c.server.budget.Limits().MaxConnectionBytes()) - c.stateBytes() - c.retainedBytes()
	c.arriving = max(length, min(messageCopies*length, room))
	if !c.holder.Take(budget.Message, budget.Bytes(c.arriving+c.retainedBytes())) {
		c.arriving = 0
		return &noRoom{length: length}
	}
	return nil
}

// recordMessage records that a message has been handled. A large one is held until its batch has been answered.
func (c *connection) recordMessage(m message) {
	if m.encoded != nil {
		c.unansweredBytes += c.arriving
	}
	c.arriving = 0
	c.settleBudget()
}

// settleBudget gives back what is no longer held and records what the connection is doing.
func (c *connection) settleBudget() {
	answered := c.answer == nil || c.answer.isDone()
	if c.batch == nil && answered {
		c.unansweredBytes = 0
	}
	c.holdsForAnswer.Store(c.unansweredBytes > 0)
	c.holder.Take(budget.Message, budget.Bytes(c.retainedBytes()))
	c.holder.Take(budget.State, budget.Bytes(c.stateBytes()))
	tx := c.transaction.Load()
	switch {
	case !answered:
		c.holder.Work()
	case tx != nil && !tx.isAnswered() && !tx.isLost():
		c.holder.Pause()
	default:
		c.holder.Rest()
	}
}

// retainedBytes is what the connection holds of messages that have been handled.
func (c *connection) retainedBytes() int {
	if c.batch == nil {
		return c.unansweredBytes
	}
	return c.unansweredBytes + len(c.batch.payload) + len(c.batch.localReply.data)
}

// stateBytes is what the connection holds from batch to batch, and of the statements and portals of its batch.
func (c *connection) stateBytes() int {
	size := c.statementBytes + statementOverheadBytes*len(c.statements)
	if c.batch != nil {
		size += c.batch.heldBytes + statementOverheadBytes*(len(c.batch.portals)+len(c.batch.callerParses))
	}
	return size
}

// mayHoldState reports whether the budget has room for so many more bytes of a statement or a portal.
func (c *connection) mayHoldState(size int) bool {
	return c.holder.Take(budget.State, budget.Bytes(c.stateBytes()+size+statementOverheadBytes))
}

// watchBudget closes the connections whose message takes too long, until the server closes, and logs what was turned away.
func (s *Server) watchBudget() {
	ticker := time.NewTicker(slowCheckInterval)
	defer ticker.Stop()
	var logged budget.Usage
	for {
		select {
		case <-ticker.C:
			s.budget.TurnSlowAway()
			logged = s.logTurned(logged)
		case <-s.baseContext.Done():
			return
		}
	}
}

// logTurned logs how many connections and messages were turned away since the last line, and returns the present counts.
func (s *Server) logTurned(last budget.Usage) budget.Usage {
	now := s.budget.Usage()
	if now.Turned == last.Turned {
		return now
	}
	fields := []any{"held", int64(now.Held), "sessions", now.Sessions, "opening", now.Opening}
	for _, r := range budget.Reasons() {
		if more := now.Turned[r] - last.Turned[r]; more > 0 {
			fields = append(fields, r.String(), more)
		}
	}
	s.settings.Logger.Warn("callers turned away", fields...)
	return now
}
