package match

const (
	// maxSignatures is the number of signatures that a Sequence remembers. A connection answers a few hundred statements a second at
	// most, so that a second answer is recognised when it is more than a second late.
	maxSignatures = 512
	// tableSize is at least twice maxSignatures, which keeps the probes short, and a power of two.
	tableSize = 1024
)

// signedAnswers is the set of the newest signed answers. The zero value is empty.
type signedAnswers struct {
	// answers is a ring; when it is full, next is the place of the oldest.
	answers []signedAnswer
	next    int
	// table finds a signature by linear probing from its home. An entry is the place in answers plus one; zero is free.
	table []uint16
}

func home(hash uint64) int { return int(hash % tableSize) }

// rows returns the hash of the rows of the answer with the signature; false when there is none.
func (s *signedAnswers) rows(signature uint64) (uint64, bool) {
	if s.table == nil {
		return 0, false
	}
	for i := home(signature); s.table[i] != 0; i = (i + 1) % tableSize {
		if a := s.answers[s.table[i]-1]; a.signature == signature {
			return a.rows, true
		}
	}
	return 0, false
}

// add adds an answer whose signature the set does not contain. It removes the oldest one when the set is full.
func (s *signedAnswers) add(a signedAnswer) {
	place := len(s.answers)
	switch {
	case s.table == nil:
		s.table = make([]uint16, tableSize)
		s.answers = append(s.answers, a)
	case place < maxSignatures:
		s.answers = append(s.answers, a)
	default:
		place = s.next
		s.remove(place)
		s.answers[place] = a
		s.next = (s.next + 1) % maxSignatures
	}
	i := home(a.signature)
	for s.table[i] != 0 {
		i = (i + 1) % tableSize
	}
	s.table[i] = uint16(place + 1)
}

// remove removes the answer at the place from the table, and moves later entries into the gap that their probes would stop at.
func (s *signedAnswers) remove(place int) {
	gap := home(s.answers[place].signature)
	for s.table[gap] != uint16(place+1) {
		gap = (gap + 1) % tableSize
	}
	for i := (gap + 1) % tableSize; s.table[i] != 0; i = (i + 1) % tableSize {
		if distance(home(s.answers[s.table[i]-1].signature), i) >= distance(gap, i) {
			s.table[gap] = s.table[i]
			gap = i
		}
	}
	s.table[gap] = 0
}

// distance returns the number of probes from one entry of the table to another.
func distance(from, to int) int { return (to - from + tableSize) % tableSize }
