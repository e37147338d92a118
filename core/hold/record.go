package hold

import (
	"encoding/json"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// Owner identifies one run of an instance that is, was or may become the owner of a database.
type Owner struct {
	Instance    types.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Record is the value that the store holds for a database; it names the owner.
type Record struct {
	Owner
	// Former lists earlier owners and standbys that might still work for the database, the newest first.
	Former []Owner `json:"former,omitempty"`
	// FormerOmitted is set when Former lacks some of them. A promotion then has to wait for the end of all leases that they may
	// still have.
	FormerOmitted bool `json:"formerOmitted,omitempty"`
	// Standby is the instance that may work in place of a dead owner without asking the store; nil when none is designated.
	Standby *Owner `json:"deputy,omitempty"`
	// Promotion is the last promotion that an owner intended; the owner records it before it asks for the promotion.
	Promotion *Promotion `json:"promotion,omitempty"`
	// Era is the era of the store in which the record was written, and FormerEra the one since whose beginning it lists all owners and
	// promotions. Those of earlier eras may be lost. Both are zero in a record that was written before eras were recorded.
	Era       types.Era `json:"era,omitempty"`
	FormerEra types.Era `json:"formerEra,omitempty"`
}

// maxFormerOwners bounds Record.Former; the oldest entries are dropped and FormerOmitted is set. A promotion asks all of them at
// once, so that the bound limits its calls.
const maxFormerOwners = 16

// Decode reads a record from the store's value.
func Decode(value []byte) (Record, error) {
	r := Record{}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decoding the ownership record")
}

// Encode returns the record as the store holds it.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encoding the ownership record")
}

// IsOwnedBy reports whether the record names this run of the instance as the owner.
func (r Record) IsOwnedBy(self fleet.Instance) bool {
	return r.Instance == self.ID && r.Incarnation == self.Incarnation
}

// HasStandby reports whether the record names this run of the instance as the standby.
func (r Record) HasStandby(self fleet.Instance) bool {
	return r.Standby != nil && r.Standby.Instance == self.ID && r.Standby.Incarnation == self.Incarnation
}

// WithOwner returns the record with a new owner and without a standby. The old owner and its standby join Former. Only the latest run
// of each instance is listed, and none of the new owner's own instance, because a run has ended when the next one begins.
func (r Record) WithOwner(next fleet.Instance) Record {
	updated := Record{
		Owner: Owner{next.ID, next.Incarnation}, Promotion: r.Promotion, FormerOmitted: r.FormerOmitted, Era: r.Era, FormerEra: r.FormerEra,
	}
	former := append([]Owner{r.Owner}, r.Former...)
	if r.Standby != nil {
		former = append([]Owner{*r.Standby}, former...)
	}
	for _, f := range former {
		if f.Instance != "" && f.Instance != next.ID {
			updated.addFormer(f)
		}
	}
	return updated
}

// addFormer lists a former owner or standby after those that are listed.
func (r *Record) addFormer(former Owner) {
	for i, listed := range r.Former {
		if listed.Instance == former.Instance {
			r.Former[i].Incarnation = max(listed.Incarnation, former.Incarnation)
			return
		}
	}
	if len(r.Former) == maxFormerOwners {
		r.FormerOmitted = true
		return
	}
	r.Former = append(r.Former, former)
}

// WithoutFormer returns the record without former owners. It is for an owner that has held the database for longer than
// LeaseDuration, when the leases of all former owners and standbys have ended.
func (r Record) WithoutFormer() Record {
	r.Former, r.FormerOmitted = nil, false
	return r
}

// IsFromCopy reports whether a store of the era holds the record only because it was restored from a copy that contained it.
func (r Record) IsFromCopy(era types.Era) bool { return r.Era != 0 && r.Era < era }

// LacksFormer reports whether owners and promotions of an era before the given one may be missing from the record.
func (r Record) LacksFormer(era types.Era) bool { return r.FormerEra != 0 && r.FormerEra < era }

// WrittenIn returns the record as it is written in the era. complete says that no owner or promotion of an earlier era matters any more.
func (r Record) WrittenIn(era types.Era, complete bool) Record {
	r.Era = era
	if complete || r.FormerEra == 0 {
		r.FormerEra = era
	}
	return r
}
