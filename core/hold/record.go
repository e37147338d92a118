package hold

import (
	"encoding/json"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// Holder is one run of an instance.
type Holder struct {
	Instance    types.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Record is the value that the store holds for a database.
type Record struct {
	Holder
	// Former are earlier owners that might still work for the database.
	Former []Holder `json:"former,omitempty"`
	// Deputy may work in the owner's place, without the store, when the owner is dead.
	Deputy *Holder `json:"deputy,omitempty"`
	// Promotion is the last promotion that an owner was about to ask for.
	Promotion *Promotion `json:"promotion,omitempty"`
}

// Promotion is the intent to promote a member.
type Promotion struct {
	Target types.TargetID `json:"target"`
	Term   types.Term     `json:"term"`
}

// maxFormer bounds the list of earlier owners; more changes within Duration are waited out.
const maxFormer = 8

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

// IsOf reports whether the record names this run of the instance.
func (r Record) IsOf(self fleet.Instance) bool {
	return r.Instance == self.ID && r.Incarnation == self.Incarnation
}

// HasDeputy reports whether the record names this run of the instance as the deputy.
func (r Record) HasDeputy(self fleet.Instance) bool {
	return r.Deputy != nil && r.Deputy.Instance == self.ID && r.Deputy.Incarnation == self.Incarnation
}

// HandedTo returns the record with a new owner. Earlier runs of the new owner's own instance have ended.
func (r Record) HandedTo(next fleet.Instance) Record {
	handed := Record{Holder: Holder{next.ID, next.Incarnation}, Promotion: r.Promotion}
	former := append([]Holder{r.Holder}, r.Former...)
	if r.Deputy != nil {
		former = append([]Holder{*r.Deputy}, former...)
	}
	for _, f := range former {
		if f.Instance != "" && f.Instance != next.ID && len(handed.Former) < maxFormer {
			handed.Former = append(handed.Former, f)
		}
	}
	return handed
}
