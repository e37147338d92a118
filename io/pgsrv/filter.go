package pgsrv

import (
	"bytes"

	"github.com/pkg/errors"
)

// filtered is what a payload of the owner means for the caller.
type filtered struct {
	data    []byte // goes to the caller
	status  byte   // of ReadyForQuery, zero when the answer goes on
	copying bool   // the target waits for COPY data
}

// filter checks a payload against the answer that is owed and leaves out what the caller did not ask for.
func (a *answer) filter(payload []byte) (filtered, error) {
	s := scanner{rest: payload}
	result := filtered{data: payload}
	kept, whole := 0, true
	for {
		m, encoded, more, err := s.next()
		if err != nil || !more {
			return result, err
		}
		if result.status != 0 {
			return result, errors.New("payload goes on after ReadyForQuery")
		}
		relay, err := a.note(m, &result)
		if err != nil {
			return result, err
		}
		if result.copying {
			result.data = result.data[:kept]
			return result, nil
		}
		switch {
		case relay && whole:
			kept += len(encoded)
		case relay:
			result.data = append(result.data, encoded...)
			kept += len(encoded)
		case whole:
			whole = false
			result.data = append(make([]byte, 0, len(payload)), payload[:kept]...)
		}
	}
}

// note follows the answer and reports whether the caller gets the message.
func (a *answer) note(m message, result *filtered) (bool, error) {
	switch m.kind {
	case kindParseComplete:
		relay, expected := a.confirm()
		if !expected {
			return false, errors.New("ParseComplete without a Parse")
		}
		return relay, nil
	case kindErrorResponse:
		a.parses = nil
	case kindCommandComplete:
		if a.text != "" {
			a.tag = string(bytes.TrimRight(m.body, "\x00"))
		}
	case kindReadyForQuery:
		return true, a.noteReady(m, result)
	case kindCopyIn, kindCopyBoth:
		result.copying = true
	}
	return true, nil
}

func (a *answer) noteReady(m message, result *filtered) error {
	if !a.synced {
		return errors.New("ReadyForQuery before the end of the batch")
	}
	if len(m.body) != 1 || !isStatus(m.body[0]) {
		return errors.New("ReadyForQuery without a transaction status")
	}
	result.status = m.body[0]
	return nil
}

func isStatus(b byte) bool { return b == statusIdle || b == statusBlock || b == statusFailed }

// isAsynchronous reports whether a payload holds only messages that no request asked for.
func isAsynchronous(payload []byte) bool {
	s := scanner{rest: payload}
	for {
		m, _, more, err := s.next()
		if err != nil {
			return false
		}
		if !more {
			return true
		}
		if m.kind != kindNotice && m.kind != kindParameterStatus && m.kind != kindNotification {
			return false
		}
	}
}
