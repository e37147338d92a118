package meter

// CounterFunc is a growing count that its owner keeps and that is read at each scrape.
type CounterFunc struct {
	// Name is the metric's name without the prefix of all and the suffix of counters.
	Name        string
	Description string
	Read        func() int64
}

// dimensionlessUnit is the unit of plain counts in OpenTelemetry.
const dimensionlessUnit = "1"

// PublishCounters publishes counts.
func (m *Meter) PublishCounters(counts ...CounterFunc) error {
	for _, c := range counts {
		if err := m.Counter(c.Name, dimensionlessUnit, c.Description, c.Read); err != nil {
			return err
		}
	}
	return nil
}
