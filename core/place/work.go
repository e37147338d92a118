package place

import "time"

const (
	// initialServiceTime is assumed of a class before its first answer; members of today take 3 to 55 ms.
	initialServiceTime = 12 * time.Millisecond
	// serviceTimeWeight is the weight of one observation, so that about twenty answers decide.
	serviceTimeWeight = 0.05
)

// serviceTimes learns how long a member works at a statement of each class.
type serviceTimes struct {
	averages map[Class]time.Duration
}

func newServiceTimes() *serviceTimes { return &serviceTimes{averages: map[Class]time.Duration{}} }

func (w *serviceTimes) record(class Class, took time.Duration) {
	before, known := w.averages[class]
	if !known {
		w.averages[class] = took
		return
	}
	w.averages[class] = before + time.Duration(serviceTimeWeight*float64(took-before))
}

func (w *serviceTimes) expected(class Class) time.Duration {
	if learned, known := w.averages[class]; known {
		return learned
	}
	return initialServiceTime
}
