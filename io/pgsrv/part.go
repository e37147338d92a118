package pgsrv

// part is what is sent of a batch at once.
type part struct {
	payload []byte
	parses  []parse
	text    string // the statement when the batch runs exactly one
	end     bool   // nothing of the batch follows
}
