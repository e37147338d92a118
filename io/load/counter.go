package load

// ReadCounter says how the share of replica reads is learned: MetricsCounter.
type ReadCounter interface{ readCounter() }

// MetricsCounter compares the instances' counters before and after the run.
type MetricsCounter struct {
	// Addresses lists the HTTP addresses of the instances.
	Addresses []string
}

func (MetricsCounter) readCounter() {}
