package pgsrv

// batchPart is the part of a batch that sendBatch has collected and sends to the owner.
type batchPart struct {
	payload         []byte
	parses          []pendingParse
	singleStatement string // the statement's text when the batch runs exactly one
	end             bool   // the batch ends with this part
}

// splitPayload splits encoded messages into payloads of whole messages. A payload exceeds the size only when a single
// message does.
func splitPayload(payload []byte, size int) [][]byte {
	if len(payload) <= size {
		return [][]byte{payload}
	}
	var payloads [][]byte
	s := messageScanner{rest: payload}
	start, end := 0, 0
	for {
		_, encoded, more, err := s.next()
		if err != nil || !more {
			return append(payloads, payload[start:])
		}
		if end > start && end+len(encoded)-start > size {
			payloads = append(payloads, payload[start:end])
			start = end
		}
		end += len(encoded)
	}
}
