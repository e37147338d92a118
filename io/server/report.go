package server

import (
	"context"
	"slices"
	"strings"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/owner"
	"turmericpulley/io/pgsrv"
)

// Report describes the state of an instance for operators.
type Report struct {
	Instance            types.InstanceID   `json:"instance"`
	DataCentre          types.DataCentre   `json:"dataCentre"`
	Ready               bool               `json:"ready"`
	NotReadyBecause     string             `json:"notReadyBecause,omitempty"`
	MembershipRevision  types.Revision     `json:"membershipRevision"`
	DocumentRevision    types.Revision     `json:"documentRevision"`
	Instances           []InstanceReport   `json:"instances"`
	Databases           []owner.Report     `json:"databases"`
	ReplicaReads        int64              `json:"replicaReads"`
	PrimaryTransactions int64              `json:"primaryTransactions"`
	KnownDatabases      []types.DatabaseID `json:"knownDatabases"`
}

// InstanceReport describes an instance as the reporting instance knows it.
type InstanceReport struct {
	fleet.Instance
	Suspected bool `json:"suspected"`
}

// Report returns the current state of the instance.
func (v *Server) Report() Report {
	members := v.peers.Membership()
	r := Report{
		Instance:            v.settings.ID,
		DataCentre:          v.settings.DataCentre,
		MembershipRevision:  members.Revision,
		DocumentRevision:    v.peers.Documents().Revision(),
		Databases:           v.ownerships.reports(),
		ReplicaReads:        v.counters.ReplicaReads.Load(),
		PrimaryTransactions: v.counters.PrimaryTransactions.Load(),
		KnownDatabases:      v.peers.Documents().Databases(),
	}
	if err := v.ready(); err != nil {
		r.NotReadyBecause = err.Error()
	} else {
		r.Ready = true
	}
	for _, i := range members.Instances {
		r.Instances = append(r.Instances, InstanceReport{Instance: i, Suspected: v.peers.Suspected(i.ID)})
	}
	return r
}

func (m *ownershipManager) reports() []owner.Report {
	m.mu.Lock()
	ownerships := make([]*ownership, 0, len(m.byDatabase))
	for _, owned := range m.byDatabase {
		ownerships = append(ownerships, owned)
	}
	m.mu.Unlock()
	reports := make([]owner.Report, 0, len(ownerships))
	for _, owned := range ownerships {
		if o := owned.ownerIfReady(); o != nil {
			reports = append(reports, o.Report())
		}
	}
	slices.SortFunc(reports, func(a, b owner.Report) int { return strings.Compare(string(a.Database), string(b.Database)) })
	return reports
}

// findTrace returns the trace of a request by its printed id.
func (v *Server) findTrace(text string) (any, bool) {
	id, err := trace.ParseID(text)
	if err != nil {
		return nil, false
	}
	return v.recorder.Find(types.RequestID(id))
}

func (v *Server) contractStatus(ctx context.Context, customer types.AccountID, revision types.Revision) (any, error) {
	return v.peers.DocumentStatus(ctx, "contracts/"+string(customer), revision), nil
}

// recordTransaction adds a finished transaction of a caller to the traces and the metrics.
func (v *Server) recordTransaction(t pgsrv.TransactionReport) {
	v.recorder.Begin(t.RequestID, t.Customer, t.Database, t.Session)
	event := trace.Event{Step: trace.Done, Target: t.Target, Replica: t.Replica}
	if t.Fault != nil {
		event = trace.Event{Step: trace.Refused, Kind: t.Fault.Kind, Detail: t.Fault.Detail}
		if t.Fault.Outcome == fault.Unknown {
			event.Step = trace.Lost
		}
	}
	v.recorder.Add(t.RequestID, event)
	v.recordMetrics(t)
}
