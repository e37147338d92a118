package fakepl

import (
	"slices"
	"sync"
	"time"
)

// Tenant is a client account of the configuration. A rate of nought means that it has no limit.
type Tenant struct {
	Name            string
	Keys            []string
	RatePerS, Burst float64
}

// encode returns the tenant as it stands in the configuration.
func (t Tenant) encode() map[string]any {
	fields := map[string]any{"name": t.Name, "apiKeys": t.Keys, "priority": 1}
	if t.RatePerS > 0 {
		fields["ratePerS"], fields["burst"] = t.RatePerS, t.Burst
	}
	return fields
}

// tenantsVersion is the tenants of one version of the configuration.
type tenantsVersion struct {
	tenants []Tenant
	// written is when its write began, and replaced when that of the next version was acknowledged; zero before.
	written, replaced time.Time
}

// holder returns the tenant that holds the key, and false when there is none.
func (v tenantsVersion) holder(key string) (string, bool) {
	for _, t := range v.tenants {
		if slices.Contains(t.Keys, key) {
			return t.Name, true
		}
	}
	return "", false
}

// tenantsHistory keeps the tenants of all versions that were written.
type tenantsHistory struct {
	mu       sync.Mutex
	versions []tenantsVersion
}

// record records the tenants of a version whose write began at the given time and was acknowledged just now.
func (h *tenantsHistory) record(tenants []Tenant, written time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if last := len(h.versions) - 1; last >= 0 {
		h.versions[last].replaced = now
	}
	h.versions = append(h.versions, tenantsVersion{tenants: slices.Clone(tenants), written: written})
}

func (h *tenantsHistory) all() []tenantsVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.versions)
}

const (
	// RevokeLimit is how long after the acknowledgement of a version that took a key away requests with the key may still be sent.
	RevokeLimit = 5 * time.Second
	// QuotaWindow is the span in which operations of a tenant are counted.
	QuotaWindow = 5 * time.Second
	// quotaOverage and quotaSlack are what a tenant may have beyond its limit.
	quotaOverage, quotaSlack = 0.1, 20
)

// Rules about tenants.
const (
	// Foreign is broken by a run under the name of a tenant that did not hold the key of the request.
	Foreign Rule = "FOREIGN"
	// Unknown is broken by a run of a request whose key no version ever held.
	Unknown Rule = "UNKNOWN"
	// Withdrawn is broken by a run of a request that was sent later than RevokeLimit after its key was taken away from the tenant.
	Withdrawn Rule = "WITHDRAWN"
	// Quota is broken by more operations of a tenant in a QuotaWindow than its limit allows.
	Quota Rule = "QUOTA"
)

// TenantBreaches compares the runs of the members with the keys of the requests and the limits of the tenants. Runs of requests that are
// not given are left out.
func (p *Platform) TenantBreaches(requests []Request) []Breach {
	sent := make(map[string]Request, len(requests))
	for _, q := range requests {
		sent[q.ID] = q
	}
	a, versions := &audit{}, p.history.all()
	operations := map[string][]operation{}
	begun := map[transactionOf]bool{}
	for _, r := range p.Group.Runs() {
		q, known := sent[r.ID]
		if !known {
			continue
		}
		a.checkTenant(versions, q, r)
		if t := (transactionOf{r.Member, r.Transaction}); r.Transaction == 0 || !begun[t] {
			begun[t] = r.Transaction != 0
			operations[r.Tenant] = append(operations[r.Tenant], operation{r.ID, q.SentAt, r.At})
		}
	}
	for name, all := range operations {
		a.checkQuota(versions, name, all)
	}
	return a.breaches
}

// transactionOf is a transaction at a member.
type transactionOf struct {
	member string
	number uint64
}

// operation is when an operation was sent by its client and when it ran at a member.
type operation struct {
	id        string
	sent, ran time.Time
}

// checkTenant compares the tenant of a run with those that held the key of its request.
func (a *audit) checkTenant(versions []tenantsVersion, q Request, r Run) {
	ever, held := false, false
	for _, v := range versions {
		holder, known := v.holder(q.Key)
		if !known || v.written.After(r.At) {
			continue
		}
		ever = true
		if holder != r.Tenant {
			continue
		}
		if held = true; v.replaced.IsZero() || !q.SentAt.After(v.replaced.Add(RevokeLimit)) {
			return
		}
	}
	switch {
	case !ever:
		a.reportf(Unknown, r.ID, "%q ran as %q", q.Text, r.Tenant)
	case held:
		a.reportf(Withdrawn, r.ID, "%q ran as %q", q.Text, r.Tenant)
	default:
		a.reportf(Foreign, r.ID, "%q ran as %q", q.Text, r.Tenant)
	}
}

// checkQuota counts the operations of a tenant that were both sent and run in each QuotaWindow. The limit is the highest of all versions.
func (a *audit) checkQuota(versions []tenantsVersion, name string, operations []operation) {
	most := 0.0
	for _, v := range versions {
		for _, t := range v.tenants {
			if t.Name == name && t.RatePerS == 0 {
				return
			}
			if t.Name == name {
				most = max(most, (t.RatePerS*QuotaWindow.Seconds()+t.Burst)*(1+quotaOverage)+quotaSlack)
			}
		}
	}
	slices.SortFunc(operations, func(x, y operation) int { return x.ran.Compare(y.ran) })
	worst, requests := 0, 0
	var end time.Time
	for last := range operations {
		begin, count, distinct := operations[last].ran.Add(-QuotaWindow), 0, map[string]bool{}
		for i := last; i >= 0 && !operations[i].ran.Before(begin); i-- {
			if !operations[i].sent.Before(begin) {
				count++
				distinct[operations[i].id] = true
			}
		}
		if count > worst {
			worst, requests, end = count, len(distinct), operations[last].ran
		}
	}
	if float64(worst) > most {
		a.reportf(Quota, name, "%d operations of %d requests in %s to %s, limit %.1f", worst, requests, QuotaWindow, end.Format(time.StampMilli), most)
	}
}
