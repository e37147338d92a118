package place

import (
	"time"

	"turmericpulley/core/clock"
)

// minSpareShare is the least share of the slots that is expected to be left for returning callers, so that their moments stay finite in an
// overload.
const minSpareShare = 0.1

// returns hands out the moments at which refused callers may come back.
//
// It answers a crowd: thousands of callers who are refused within a second, as after the return of a fleet. If all were told the same
// moment, they would come back as a crowd. So each gets a moment after the last one, at the rate at which the slots that the offered load
// leaves can serve them, and the first when those that wait now have been served.
type returns struct {
	last clock.Moment
}

// next returns how long a caller should wait whose statement takes the service time. drain is the time until those that wait now have been
// served, and load the slots that arriving statements keep busy. No moment is later than the limit, after which the answer is of no use.
func (r *returns) next(drain, serviceTime time.Duration, load float64, slots int, limit, now clock.Moment) time.Duration {
	spare := max(float64(slots)-load, minSpareShare*float64(slots))
	moment := max(r.last, now.Add(drain)).Add(time.Duration(float64(serviceTime) / spare))
	if moment >= limit {
		return limit.Sub(now)
	}
	r.last = moment
	return moment.Sub(now)
}
