package httpd

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/types"
)

// Settings configures a server; functions that are nil answer with status 404.
type Settings struct {
	// Address is the IP number and port to listen at.
	Address string
	Metrics http.Handler
	// Ready returns why the instance takes no new work, or nil when it does.
	Ready func() error
	// State returns what /debug/state shows.
	State func() any
	// Trace returns the trail of a request by its id in hexadecimal.
	Trace func(id string) (any, bool)
	// ContractStatus returns which instances have the revision of a customer's contract in force.
	ContractStatus func(ctx context.Context, customer types.CustomerID, revision types.Revision) (any, error)
	Logger         hclog.Logger
}
