package pgsrv

// part is what is sent of a batch at once.
type part struct {
	payload []byte
	parses  []parse
	text    string // the statement when the batch runs exactly one
	end     bool   // nothing of the batch follows
}

// pieces cuts encoded messages into payloads of about the size, each of whole messages.
func pieces(payload []byte, size int) [][]byte {
	if len(payload) <= size {
		return [][]byte{payload}
	}
	var cut [][]byte
	s := scanner{rest: payload}
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
