package hold

import (
	"encoding/json"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// Owner is one run of an instance.
type Owner struct {
	Instance    types.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Record is the value that the store holds for a database.
type Record struct {
	Owner
	// Former are earlier owners that might still work for the database.
	Former []Owner `json:"former,omitempty"`
	// Standby may work in the owner's place, without the store, when the owner is dead.
	Standby *Owner `json:"deputy,omitempty"`
	// Promotion is the last promotion that an owner was about to ask for.
	Promotion *Promotion `json:"promotion,omitempty"`
}

// Promotion is the intent to promote a member.
type Promotion struct {
	Target types.TargetID `json:"target"`
	Term   types.Term     `json:"term"`
}

// maxFormerOwners bounds the list of earlier owners; more changes within Duration are waited out.
const maxFormerOwners = 8

// Decode reads a record from the store's value.
func Decode(value []byte) (Record, error) {
	r := Record{}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "decoding the record of an owner")
}

// Encode writes the record as the store holds it.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encoding the record of an owner")
}

// IsOwnedBy reports whether the record names this run of the instance.
func (r Record) IsOwnedBy(self fleet.Instance) bool {
	return r.Instance == self.ID && r.Incarnation == self.Incarnation
}

// HasStandby reports whether the record names this run of the instance as the deputy.
func (r Record) HasStandby(self fleet.Instance) bool {
	return r.Standby != nil && r.Standby.Instance == self.ID && r.Standby.Incarnation == self.Incarnation
}

// WithOwner returns the record with a new owner. Earlier runs of the new owner's own instance have ended.
func (r Record) WithOwner(next fleet.Instance) Record {
	handed := Record{Owner: Owner{next.ID, next.Incarnation}, Promotion: r.Promotion}
	former := append([]Owner{r.Owner}, r.Former...)
	if r.Standby != nil {
		former = append([]Owner{*r.Standby}, former...)
	}
	for _, f := range former {
		if f.Instance != "" && f.Instance != next.ID && len(handed.Former) < maxFormerOwners {
			handed.Former = append(handed.Former, f)
		}
	}
	return handed
}
