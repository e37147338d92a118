package front

import (
	"time"

	"turmericpulley/core/budget"
	"turmericpulley/core/stmt"
)

const (
	// budgetInterval is the time between two checks for callers that are too slow, and between two log lines about callers turned away.
	budgetInterval = time.Second
	// answerCopies is how often an answer is in memory while it is sent: as rows and as messages.
	answerCopies = 2

	textNoSession = "the instance has no room for another session; come back in a second, over a new connection"
	textNoState   = "the instance has no room for further values and prepared statements; come back in a second, over a new connection"
	textNoAnswer  = "the instance has no room for an answer of this size now; come back in a second"
)

// watchBudget turns away callers that are too slow, and logs who was turned away since the last time, until the server has stopped.
func (s *Server) watchBudget() {
	ticker := time.NewTicker(budgetInterval)
	defer ticker.Stop()
	logged := s.budget.Usage()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
		s.budget.TurnSlowAway()
		if now := s.budget.Usage(); now.Turned != logged.Turned {
			s.logTurned(logged, now)
			logged = now
		}
	}
}

func (s *Server) logTurned(before, now budget.Usage) {
	limits := s.budget.Limits()
	values := []any{
		"sessions", now.Sessions, "maxSessions", limits.Sessions, "opening", now.Opening, "maxOpening", limits.Opening,
		"bytes", int64(now.Held), "maxBytes", int64(limits.Bytes),
	}
	for _, r := range budget.Reasons() {
		if n := now.Turned[r] - before.Turned[r]; n > 0 {
			values = append(values, r.String(), n)
		}
	}
	s.logger.Warn("callers turned away or refused", values...)
}

// roomForAnswer returns the reply, or a refusal when it is a large answer for which there is no room. A write that has run is never refused.
func (s *session) roomForAnswer(statement stmt.Statement, r stmt.Reply) stmt.Reply {
	bytes := 0
	for _, row := range r.Rows {
		bytes += len(row)
	}
	if s.holder.Take(budget.Answer, budget.Bytes(answerCopies*bytes)) || statement.Kind == stmt.Commit || statement.Writes() {
		return r
	}
	return s.fail(stmt.Overloaded, textNoAnswer)
}
