package check

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
	"turmericpulley/io/server"
)

const reportTimeout = time.Second

// Report returns the state that the instance reports on its HTTP address.
func (i *Instance) Report() (server.Report, error) {
	client := http.Client{Timeout: reportTimeout}
	response, err := client.Get("http://" + i.HTTPAddress + "/debug/state")
	if err != nil {
		return server.Report{}, errors.Wrapf(err, "getting the state of %s", i.ID)
	}
	defer func() { _ = response.Body.Close() }()
	var report server.Report
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, errors.Wrapf(err, "decoding the state of %s", i.ID)
}

// Owner waits until an instance reports that it owns the database, and returns the one with the highest epoch.
func (f *Fleet) Owner(database int) *Instance {
	f.tb.Helper()
	var owner *Instance
	require.Eventually(f.tb, func() bool {
		owner = f.currentOwner(f.layout.databaseID(database))
		return owner != nil
	}, readyTimeout, pollInterval, "no instance owns the database")
	return owner
}

// currentOwner returns the instance that reports ownership of the database with the highest epoch, or nil if none does.
func (f *Fleet) currentOwner(database types.DatabaseID) *Instance {
	var owner *Instance
	var epoch types.Epoch
	for _, i := range f.Instances {
		report, err := i.Report()
		if err != nil {
			continue
		}
		for _, ownership := range report.Databases {
			if ownership.Database == database && ownership.Epoch >= epoch {
				owner = i
				epoch = ownership.Epoch
			}
		}
	}
	return owner
}

// Others returns all instances except the given one.
func (f *Fleet) Others(excluded *Instance) []*Instance {
	var others []*Instance
	for _, i := range f.Instances {
		if i != excluded {
			others = append(others, i)
		}
	}
	return others
}
