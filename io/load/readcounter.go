package load

// ReadCounter selects how the share of replica reads is determined; MetricsCounter is the only implementation.
type ReadCounter interface{ readCounter() }

// MetricsCounter compares the metrics of the instances before and after the run.
type MetricsCounter struct {
	// Addresses lists the HTTP addresses of the instances.
	Addresses []string
}

func (MetricsCounter) readCounter() {}
