package meter

// Count is a growing count that its owner keeps and that is read at each scrape.
type Count struct {
	// Name is the metric's name without the prefix of all and the suffix of counters.
	Name        string
	Description string
	Read        func() int64
}

// unitCount is the unit of plain counts in OpenTelemetry.
const unitCount = "1"

// Publish publishes counts.
func (m *Meter) Publish(counts ...Count) error {
	for _, c := range counts {
		if err := m.Counter(c.Name, unitCount, c.Description, c.Read); err != nil {
			return err
		}
	}
	return nil
}
