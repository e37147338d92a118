package admin

import (
	"cmp"
	"context"
	"slices"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/owner"
	"turmericpulley/io/server"
)

// Status holds the state of the instances and of the databases, as the instances report it.
type Status struct {
	Instances []InstanceStatus `json:"instances"`
	Databases []DatabaseStatus `json:"databases"`
	// Unowned lists the known databases that no answering instance owns.
	Unowned []types.DatabaseID `json:"unowned,omitempty"`
}

// InstanceStatus is the state of one instance as it reports it.
type InstanceStatus struct {
	fleet.Instance
	// Problem says why the state of the instance could not be read.
	Problem            string         `json:"problem,omitempty"`
	Ready              bool           `json:"ready"`
	NotReadyBecause    string         `json:"notReadyBecause,omitempty"`
	MembershipRevision types.Revision `json:"membershipRevision"`
	DocumentRevision   types.Revision `json:"documentRevision"`
	// SuspectedBy lists the instances whose failure detectors suspect this one.
	SuspectedBy []types.InstanceID `json:"suspectedBy,omitempty"`
}

// DatabaseStatus is the state of one database as reported by the owner with the highest epoch.
type DatabaseStatus struct {
	Owner types.InstanceID `json:"owner"`
	owner.Report
}

// Status reads the state of every instance and combines it.
func (c *Client) Status(ctx context.Context, instances []fleet.Instance) Status {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	reports := make([]server.Report, len(instances))
	errs := make([]error, len(instances))
	forEachInstance(instances, func(index int, instance fleet.Instance) {
		errs[index] = c.getJSON(ctx, instance, "/debug/state", &reports[index])
	})
	var status Status
	var received []server.Report
	for index, instance := range instances {
		if errs[index] == nil {
			received = append(received, reports[index])
		}
		status.Instances = append(status.Instances, newInstanceStatus(instance, reports[index], errs[index]))
	}
	status.setSuspectedBy(received)
	status.setDatabases(received)
	slices.SortFunc(status.Instances, func(a, b InstanceStatus) int { return cmp.Compare(a.ID, b.ID) })
	return status
}

func newInstanceStatus(instance fleet.Instance, report server.Report, err error) InstanceStatus {
	if err != nil {
		return InstanceStatus{Instance: instance, Problem: err.Error()}
	}
	return InstanceStatus{
		Instance:           instance,
		Ready:              report.Ready,
		NotReadyBecause:    report.NotReadyBecause,
		MembershipRevision: report.MembershipRevision,
		DocumentRevision:   report.DocumentRevision,
	}
}

// setSuspectedBy sets for each instance the instances that suspect it.
func (s *Status) setSuspectedBy(reports []server.Report) {
	for index := range s.Instances {
		status := &s.Instances[index]
		for _, report := range reports {
			for _, other := range report.Instances {
				if other.ID == status.ID && other.Suspected {
					status.SuspectedBy = append(status.SuspectedBy, report.Instance)
				}
			}
		}
	}
}

// setDatabases sets the state of each database from the owner with the highest epoch, and the databases without owner.
func (s *Status) setDatabases(reports []server.Report) {
	byID := map[types.DatabaseID]DatabaseStatus{}
	known := map[types.DatabaseID]bool{}
	for _, report := range reports {
		for _, id := range report.KnownDatabases {
			known[id] = true
		}
		for _, database := range report.Databases {
			if before, found := byID[database.Database]; !found || before.Epoch < database.Epoch {
				byID[database.Database] = DatabaseStatus{Owner: report.Instance, Report: database}
			}
		}
	}
	for id := range known {
		if _, found := byID[id]; !found {
			s.Unowned = append(s.Unowned, id)
		}
	}
	for _, database := range byID {
		s.Databases = append(s.Databases, database)
	}
	slices.Sort(s.Unowned)
	slices.SortFunc(s.Databases, func(a, b DatabaseStatus) int { return cmp.Compare(a.Database, b.Database) })
}
