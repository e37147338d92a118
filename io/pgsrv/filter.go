package pgsrv

import (
	"bytes"

	"github.com/pkg/errors"
)

// filteredPayload is the result of filtering a payload of the owner for the caller.
type filteredPayload struct {
	data           []byte // messages for the caller
	status         byte   // transaction status of ReadyForQuery; zero when the answer is not complete
	awaitsCopyData bool   // the target expects COPY data
}

// filter checks a payload of the owner against the expected answer and removes answers to messages that the proxy injected.
func (a *answer) filter(payload []byte) (filteredPayload, error) {
	s := messageScanner{rest: payload}
	result := filteredPayload{data: payload}
	kept, unmodified := 0, true
	for {
		m, encoded, more, err := s.next()
		if err != nil || !more {
			return result, err
		}
		if result.status != 0 {
			return result, errors.New("payload continues after ReadyForQuery")
		}
		relay, err := a.processMessage(m, &result)
		if err != nil {
			return result, err
		}
		if result.awaitsCopyData {
			result.data = result.data[:kept]
			return result, nil
		}
		switch {
		case relay && unmodified:
			kept += len(encoded)
		case relay:
			result.data = append(result.data, encoded...)
			kept += len(encoded)
		case unmodified:
			unmodified = false
			result.data = append(make([]byte, 0, len(payload)), payload[:kept]...)
		}
	}
}

// processMessage updates the state of the answer from a message and reports whether it is relayed to the caller.
func (a *answer) processMessage(m message, result *filteredPayload) (bool, error) {
	switch m.messageType {
	case typeParseComplete:
		relay, expected := a.takeParseComplete()
		if !expected {
			return false, errors.New("ParseComplete without a Parse")
		}
		return relay, nil
	case typeErrorResponse:
		a.pendingParses = nil
	case typeCommandComplete:
		if a.singleStatement != "" {
			a.commandTag = string(bytes.TrimRight(m.body, "\x00"))
		}
	case typeReadyForQuery:
		return true, a.processReady(m, result)
	case typeCopyIn, typeCopyBoth:
		result.awaitsCopyData = true
	}
	return true, nil
}

func (a *answer) processReady(m message, result *filteredPayload) error {
	if !a.endSent {
		return errors.New("ReadyForQuery before the end of the batch")
	}
	if len(m.body) != 1 || !isStatus(m.body[0]) {
		return errors.New("ReadyForQuery without a transaction status")
	}
	result.status = m.body[0]
	return nil
}

func isStatus(b byte) bool {
	return b == statusIdle || b == statusInTransaction || b == statusFailedTransaction
}

// isAsynchronous reports whether a payload consists of messages that a target sends without a request.
func isAsynchronous(payload []byte) bool {
	s := messageScanner{rest: payload}
	for {
		m, _, more, err := s.next()
		if err != nil {
			return false
		}
		if !more {
			return true
		}
		if m.messageType != typeNotice && m.messageType != typeParameterStatus && m.messageType != typeNotification {
			return false
		}
	}
}
