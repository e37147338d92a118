package trace

// Step names what happened to a request.
type Step string

const (
	// Received marks the arrival of the request from its caller.
	Received Step = "received"
	// Routed marks the choice of the owner that the request is sent to.
	Routed Step = "routed"
	// Forwarded marks the sending of the request to another instance.
	Forwarded Step = "forwarded"
	// Accepted marks the arrival of the request from another instance.
	Accepted Step = "accepted"
	// Queued marks the start of the wait for a connection.
	Queued Step = "queued"
	// Admitted marks the end of the wait for a connection.
	Admitted Step = "admitted"
	// Sent marks the first byte sent to a target.
	Sent Step = "sent"
	// Answered marks the target's complete answer.
	Answered Step = "answered"
	// Confirmed marks that a majority of members holds the request's writes.
	Confirmed Step = "confirmed"
	// Retried marks another attempt after one that had no effect.
	Retried Step = "retried"
	// Refused marks an answer to the caller that the request did not run.
	Refused Step = "refused"
	// Lost marks an answer to the caller that the outcome is unknown.
	Lost Step = "lost"
	// Cancelled marks the cancellation of the request by the caller.
	Cancelled Step = "cancelled"
	// Done marks that the last byte of the answer was sent to the caller.
	Done Step = "done"
)

// description returns the step as text for an operator.
func (s Step) description() string {
	switch s {
	case Received:
		return "received from the caller"
	case Routed:
		return "routed"
	case Forwarded:
		return "forwarded to another instance"
	case Accepted:
		return "accepted from another instance"
	case Queued:
		return "began to wait for a connection"
	case Admitted:
		return "got a connection"
	case Sent:
		return "sent to the target"
	case Answered:
		return "answered by the target"
	case Confirmed:
		return "writes confirmed by a majority of members"
	case Retried:
		return "tried again, the attempt before had no effect"
	case Refused:
		return "refused without effect"
	case Lost:
		return "outcome unknown, the answer was lost"
	case Cancelled:
		return "cancelled by the caller"
	case Done:
		return "answer passed to the caller in full"
	default:
		return string(s)
	}
}
