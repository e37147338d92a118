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

// Report asks the instance what it believes.
func (i *Instance) Report() (server.Report, error) {
	client := http.Client{Timeout: reportTimeout}
	response, err := client.Get("http://" + i.HTTPAddress + "/debug/state")
	if err != nil {
		return server.Report{}, errors.Wrapf(err, "asking %s", i.ID)
	}
	defer func() { _ = response.Body.Close() }()
	var report server.Report
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, errors.Wrapf(err, "reading the state of %s", i.ID)
}

// Owner waits until an instance owns the database and returns the one with the highest epoch.
func (f *Fleet) Owner(database int) *Instance {
	f.tb.Helper()
	var owner *Instance
	require.Eventually(f.tb, func() bool {
		owner = f.currentOwner(f.layout.databaseID(database))
		return owner != nil
	}, readyTimeout, pollInterval, "no instance owns the database")
	return owner
}

// currentOwner returns the instance that owns the database in the highest epoch, nil when none does.
func (f *Fleet) currentOwner(database types.DatabaseID) *Instance {
	var owner *Instance
	var epoch types.Epoch
	for _, i := range f.Instances {
		report, err := i.Report()
		if err != nil {
			continue
		}
		for _, held := range report.Databases {
			if held.Database == database && held.Epoch >= epoch {
				owner = i
				epoch = held.Epoch
			}
		}
	}
	return owner
}

// Others returns the instances but for one.
func (f *Fleet) Others(but *Instance) []*Instance {
	var others []*Instance
	for _, i := range f.Instances {
		if i != but {
			others = append(others, i)
		}
	}
	return others
}
