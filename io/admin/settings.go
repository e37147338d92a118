package admin

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// DefaultTimeout bounds the wait for a change, to be stored and then to be in force.
	DefaultTimeout = 5 * time.Second
	// instanceTimeout bounds one question to one instance, which waits up to 1 s for others before it answers.
	instanceTimeout = 1500 * time.Millisecond
	// storeTimeout bounds one call to the platform, so that a lost answer leaves time to read back.
	storeTimeout = time.Second
	// pollInterval is the first pause between two attempts; it doubles between rounds of questions.
	pollInterval = 100 * time.Millisecond
	// maxPollInterval is the longest pause between two rounds of questions.
	maxPollInterval = 400 * time.Millisecond
	// maxResponseBytes bounds the answer of an instance.
	maxResponseBytes = 32 << 20
	// maxConcurrentQueries is the number of instances that are asked at once.
	maxConcurrentQueries = 32
)

// Settings configures a client for operators.
type Settings struct {
	// Platform is the base URL of the platform.
	Platform string
	// Timeout bounds the wait for a change, to be stored and then to be in force.
	Timeout time.Duration
	// Operator is the name that changes are recorded under.
	Operator string
	Logger   hclog.Logger
}
