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

// Status is what the instances say about themselves and the databases that they own.
type Status struct {
	Instances []InstanceStatus `json:"instances"`
	Databases []DatabaseStatus `json:"databases"`
	// Unowned lists the known databases that no answering instance owns.
	Unowned []types.DatabaseID `json:"unowned,omitempty"`
}

// InstanceStatus is one instance as it describes itself.
type InstanceStatus struct {
	fleet.Instance
	// Problem says why the instance did not answer.
	Problem            string         `json:"problem,omitempty"`
	Ready              bool           `json:"ready"`
	NotReadyBecause    string         `json:"notReadyBecause,omitempty"`
	MembershipRevision types.Revision `json:"membershipRevision"`
	DocumentRevision   types.Revision `json:"documentRevision"`
	// SuspectedBy lists the instances that do not hear this one.
	SuspectedBy []types.InstanceID `json:"suspectedBy,omitempty"`
}

// DatabaseStatus is one database as its owner of the highest epoch describes it.
type DatabaseStatus struct {
	Owner types.InstanceID `json:"owner"`
	owner.Report
}

// Status asks every instance what it believes.
func (c *Client) Status(ctx context.Context, instances []fleet.Instance) Status {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	reports := make([]server.Report, len(instances))
	problems := make([]error, len(instances))
	forEachInstance(instances, func(index int, instance fleet.Instance) {
		problems[index] = c.getJSON(ctx, instance, "/debug/state", &reports[index])
	})
	var status Status
	var answered []server.Report
	for index, instance := range instances {
		if problems[index] == nil {
			answered = append(answered, reports[index])
		}
		status.Instances = append(status.Instances, newInstanceStatus(instance, reports[index], problems[index]))
	}
	status.setSuspectedBy(answered)
	status.setDatabases(answered)
	slices.SortFunc(status.Instances, func(a, b InstanceStatus) int { return cmp.Compare(a.ID, b.ID) })
	return status
}

func newInstanceStatus(instance fleet.Instance, report server.Report, problem error) InstanceStatus {
	if problem != nil {
		return InstanceStatus{Instance: instance, Problem: problem.Error()}
	}
	return InstanceStatus{
		Instance:           instance,
		Ready:              report.Ready,
		NotReadyBecause:    report.NotReadyBecause,
		MembershipRevision: report.MembershipRevision,
		DocumentRevision:   report.DocumentRevision,
	}
}

// setSuspectedBy notes which instances others do not hear.
func (s *Status) setSuspectedBy(reports []server.Report) {
	for index := range s.Instances {
		one := &s.Instances[index]
		for _, report := range reports {
			for _, seen := range report.Instances {
				if seen.ID == one.ID && seen.Suspected {
					one.SuspectedBy = append(one.SuspectedBy, report.Instance)
				}
			}
		}
	}
}

// setDatabases takes each database from its owner of the highest epoch.
func (s *Status) setDatabases(reports []server.Report) {
	owned := map[types.DatabaseID]DatabaseStatus{}
	known := map[types.DatabaseID]bool{}
	for _, report := range reports {
		for _, id := range report.KnownDatabases {
			known[id] = true
		}
		for _, database := range report.Databases {
			if before, found := owned[database.Database]; !found || before.Epoch < database.Epoch {
				owned[database.Database] = DatabaseStatus{Owner: report.Instance, Report: database}
			}
		}
	}
	for id := range known {
		if _, found := owned[id]; !found {
			s.Unowned = append(s.Unowned, id)
		}
	}
	for _, database := range owned {
		s.Databases = append(s.Databases, database)
	}
	slices.Sort(s.Unowned)
	slices.SortFunc(s.Databases, func(a, b DatabaseStatus) int { return cmp.Compare(a.Database, b.Database) })
}
