package meter

// CounterFunc is a counter whose value is kept elsewhere and read at each scrape.
type CounterFunc struct {
	// Name is the metric's name without the namespace and without the suffix _total.
	Name string
	// Description is the help text of the metric.
	Description string
	// Read returns the present value, which never decreases.
	Read func() int64
}

// dimensionlessUnit is OpenTelemetry's unit of values without a dimension, such as counts.
const dimensionlessUnit = "1"

// PublishCounters publishes each counter and stops at the first error.
func (m *Meter) PublishCounters(counters ...CounterFunc) error {
	for _, c := range counters {
		if err := m.Counter(c.Name, dimensionlessUnit, c.Description, c.Read); err != nil {
			return err
		}
	}
	return nil
}
