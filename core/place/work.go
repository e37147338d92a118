package place

import "time"

const (
	// initialWork is assumed of a class before its first answer; members of today take 3 to 55 ms.
	initialWork = 12 * time.Millisecond
	// workWeight is the weight of one observation, so that about twenty answers decide.
	workWeight = 0.05
)

// work learns how long a member works at a statement of each class.
type work struct {
	learned map[Class]time.Duration
}

func newWork() *work { return &work{learned: map[Class]time.Duration{}} }

func (w *work) note(class Class, took time.Duration) {
	before, known := w.learned[class]
	if !known {
		w.learned[class] = took
		return
	}
	w.learned[class] = before + time.Duration(workWeight*float64(took-before))
}

func (w *work) expected(class Class) time.Duration {
	if learned, known := w.learned[class]; known {
		return learned
	}
	return initialWork
}
