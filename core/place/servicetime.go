package place

import "time"

const (
	// initialServiceTime is assumed for a class before its first answer; current members take 3 to 55 ms per statement.
	initialServiceTime = 12 * time.Millisecond
	// serviceTimeWeight is the weight of one observation, so that the average covers about the last twenty answers.
	serviceTimeWeight = 0.05
)

// serviceTimes keeps an exponentially weighted moving average of the time that members work on a statement of each class.
type serviceTimes struct {
	averages map[Class]time.Duration
}

func newServiceTimes() *serviceTimes { return &serviceTimes{averages: map[Class]time.Duration{}} }

func (t *serviceTimes) record(class Class, took time.Duration) {
	average, known := t.averages[class]
	if !known {
		t.averages[class] = took
		return
	}
	t.averages[class] = average + time.Duration(serviceTimeWeight*float64(took-average))
}

func (t *serviceTimes) expected(class Class) time.Duration {
	if average, known := t.averages[class]; known {
		return average
	}
	return initialServiceTime
}
