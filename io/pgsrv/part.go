package pgsrv

// batchPart is what is sent of a batch at once.
type batchPart struct {
	payload         []byte
	parses          []pendingParse
	singleStatement string // the statement when the batch runs exactly one
	end             bool   // nothing of the batch follows
}

// splitPayload cuts encoded messages into payloads of about the size, each of whole messages.
func splitPayload(payload []byte, size int) [][]byte {
	if len(payload) <= size {
		return [][]byte{payload}
	}
	var cut [][]byte
	s := messageScanner{rest: payload}
	start, end := 0, 0
	for {
		_, encoded, more, err := s.next()
		if err != nil || !more {
			return append(cut, payload[start:])
		}
		if end > start && end+len(encoded)-start > size {
			cut = append(cut, payload[start:end])
			start = end
		}
		end += len(encoded)
	}
}
