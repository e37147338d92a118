package policy

import (
	"fmt"
	"strings"

	"turmericpulley/core/fault"
)

// maxShownValueBytes bounds the bytes of a value that a message repeats.
const maxShownValueBytes = 60

// problem is one thing wrong with a document.
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

// problems collects everything wrong with one document.
type problems struct {
	list []problem
}

func (p *problems) add(field, value, remedy string) {
	p.list = append(p.list, problem{field: field, value: value, remedy: remedy})
}

// err returns one fault that names every problem, or nil when there is none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p.list))
	for _, one := range p.list {
		lines = append(lines, one.String())
	}
	return fault.New(fault.InvalidContract, strings.Join(lines, "; "))
}
