package admin

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// DefaultTimeout is the timeout for a change to be stored, and again for it to be in force.
	DefaultTimeout = 5 * time.Second
	// instanceTimeout bounds one request to an instance, which waits up to 1 s for each call to another instance before it
	// responds.
	instanceTimeout = 1500 * time.Millisecond
	// storeTimeout bounds one call to the platform, so that time remains to read the contract back after a lost response.
	storeTimeout = time.Second
	// pollInterval is the pause between two attempts to read or store a contract, and the first pause between two polls of the
	// instances.
	pollInterval = 100 * time.Millisecond
	// maxPollInterval is the maximum pause between two polls of the instances; each pause is twice the one before.
	maxPollInterval = 400 * time.Millisecond
	// maxResponseBytes bounds the part of an instance's response that is read.
	maxResponseBytes = 32 << 20
	// maxConcurrentQueries is the maximum number of instances that are queried at once.
	maxConcurrentQueries = 32
)

// Settings configures a client.
type Settings struct {
	// Platform is the base URL of the platform.
	Platform string
	// Timeout bounds the wait for a change to be stored, and again the wait for it to be in force.
	Timeout time.Duration
	// Operator is the operator's name in the history of contracts.
	Operator string
	// Logger receives a message when calls to the store start to fail and when they succeed again; nil disables logging.
	Logger hclog.Logger
}
