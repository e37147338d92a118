package group

import (
	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/io/logs"
)

// handleFailure handles a member's refusal or failure of a statement that runUnpinned sent.
//
// It closes the connection if a transaction may be open on it, or if the member does not know a statement that the connection
// lists as prepared. It reports a statement that failed or timed out to the scheduler, which prefers other replicas to one that
// fails often. It suspects a member that is not the expected one or not the primary. runUnpinned may retry a statement that did
// not run, and a retryable one that failed.
func (s *Session) handleFailure(req Request, grant *place.Grant, p *pool, conn *pooledConn, r stmt.Reply) (stmt.Reply, attemptOutcome) {
	g := s.group
	if req.Begins() || r.State != stmt.Idle || r.Code == stmt.UnknownStatement {
		p.discard(conn)
	} else {
		p.put(conn)
	}
	if r.Code == stmt.Failed || r.Code == stmt.TimedOut {
		g.scheduler.ReportFailure(grant.Target)
	}
	g.scheduler.Release(grant, 0, false)
	if r.Code == stmt.ReadOnly || r.Code == stmt.WrongTarget {
		g.suspect(grant.Target)
	}
	r.State = stmt.Idle
	if r.Code.NotRun() {
		return r, outcomeNotRun
	}
	if r.Code == stmt.Failed && req.Retryable() {
		return r, outcomeNotRun
	}
	if req.InTransaction {
		r.State = stmt.InFailedTransaction
	}
	g.requestLogger.Info("request failed at member", "request", logs.Text(req.Statement.ID), "member", grant.Target, "code", r.Code,
		"reason", logs.Text(r.Text))
	return r, outcomeFinal
}
