package policy

import (
	"fmt"
	"strings"

	"turmericpulley/core/fault"
)

// maxShownValueBytes is how much of a wrong value a message shows.
const maxShownValueBytes = 60

// problem is one problem with a document: the field, its value and what is expected instead.
type problem struct {
	field  string
	value  string
	remedy string
}

func (p problem) String() string {
	value := p.value
	if len(value) > maxShownValueBytes {
		value = strings.ToValidUTF8(value[:maxShownValueBytes], "") + "..."
	}
	return fmt.Sprintf("%s is %s: %s", p.field, value, p.remedy)
}

// problems collects the problems with one document.
type problems struct {
	list []problem
}

func (p *problems) add(field, value, remedy string) {
	p.list = append(p.list, problem{field: field, value: value, remedy: remedy})
}

// err returns one fault that lists all problems, or nil when there are none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p.list))
	for _, item := range p.list {
		lines = append(lines, item.String())
	}
	return fault.New(fault.InvalidContract, strings.Join(lines, "; "))
}
