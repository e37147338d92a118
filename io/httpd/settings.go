package httpd

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/types"
)

// Settings configures a server. A path whose handler or function is nil responds with status 404; only /readyz responds that
// the instance is ready when Ready is nil.
type Settings struct {
	// Address is the IP address and port to listen at.
	Address string
	// Metrics serves /metrics.
	Metrics http.Handler
	// Ready returns why the instance takes no new work, or nil when it takes work.
	Ready func() error
	// State returns the value that /debug/state shows as JSON.
	State func() any
	// Trace returns the trace of a request by its id in hexadecimal and reports whether there is one.
	Trace func(id string) (any, bool)
	// ContractStatus returns which instances have a revision of a customer's contract in force.
	ContractStatus func(ctx context.Context, customer types.AccountID, revision types.Revision) (any, error)
	// Logger logs the failure of the listener; nil disables logging.
	Logger hclog.Logger
}
