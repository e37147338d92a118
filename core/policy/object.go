package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// object reads the fields of one JSON object and collects what is wrong with them.
type object struct {
	path     string
	fields   map[string]json.RawMessage
	known    []string
	problems *problems
}

// newObject splits the object; nil means that the data is no object.
func newObject(path string, data []byte, found *problems) *object {
	o := &object{path: path, fields: map[string]json.RawMessage{}, problems: found}
	if err := o.split(data); err != nil {
		found.add(o.describe(), quote(data), "give one well-formed JSON object ("+err.Error()+")")
		return nil
	}
	return o
}

func (o *object) split(data []byte) error {
	if len(data) > MaxDocumentBytes {
		return fmt.Errorf("%d bytes are more than %d", len(data), MaxDocumentBytes)
	}
	if !json.Valid(data) {
		var ignored json.RawMessage
		return json.Unmarshal(data, &ignored)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	opening, err := decoder.Token()
	if err != nil {
		return err
	}
	if opening != json.Delim('{') {
		return fmt.Errorf("it begins with %v", opening)
	}
	for decoder.More() {
		if err := o.splitField(decoder); err != nil {
			return err
		}
	}
	return nil
}

func (o *object) splitField(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	name := fmt.Sprint(token)
	if _, twice := o.fields[name]; twice {
		o.problems.add(o.field(name), quote(value), "give the field once")
	}
	o.fields[name] = value
	return nil
}

func (o *object) describe() string {
	if o.path == "" {
		return "document"
	}
	return o.path
}

func (o *object) field(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// read takes a field's value into place and reports whether it was there and of the right type.
func (o *object) read(name string, place any, remedy string) bool {
	o.known = append(o.known, name)
	value, given := o.fields[name]
	if !given {
		return false
	}
	if string(value) == "null" || json.Unmarshal(value, place) != nil {
		o.problems.add(o.field(name), quote(value), remedy)
		return false
	}
	return true
}

// required reports the absence of a field.
func (o *object) required(name, remedy string) {
	if _, given := o.fields[name]; !given {
		o.problems.add(o.field(name), "missing", remedy)
	}
}

func (o *object) integer(name string, lowest, highest int, extra string) int {
	remedy := fmt.Sprintf("give a whole number from %d to %d%s", lowest, highest, extra)
	var value int
	if o.read(name, &value, remedy) && (value < lowest || value > highest) {
		o.problems.add(o.field(name), quote(o.fields[name]), remedy)
	}
	return value
}

func (o *object) requiredInteger(name string, lowest, highest int) int {
	o.required(name, fmt.Sprintf("give a whole number from %d to %d", lowest, highest))
	return o.integer(name, lowest, highest, "")
}

func (o *object) duration(name string, lowest, highest time.Duration, extra string) Duration {
	remedy := fmt.Sprintf(`give a duration such as "2s" from %s to %s%s`, lowest, highest, extra)
	var value Duration
	if o.read(name, &value, remedy) && (value.Std() < lowest || value.Std() > highest) {
		o.problems.add(o.field(name), quote(o.fields[name]), remedy)
	}
	return value
}

func (o *object) name(name string) string {
	o.required(name, nameRemedy)
	return o.optionalName(name)
}

func (o *object) optionalName(name string) string {
	var value string
	if o.read(name, &value, nameRemedy) && !ValidName(value) {
		o.problems.add(o.field(name), quote(o.fields[name]), nameRemedy)
	}
	return value
}

// list returns the elements of a field that must be a non-empty array.
func (o *object) list(name string, highest int) []json.RawMessage {
	remedy := fmt.Sprintf("give a list of 1 to %d", highest)
	o.required(name, remedy)
	var values []json.RawMessage
	if o.read(name, &values, remedy) && (len(values) == 0 || len(values) > highest) {
		o.problems.add(o.field(name), fmt.Sprintf("a list of %d", len(values)), remedy)
	}
	return values
}

// finish reports the fields that nothing has read.
func (o *object) finish() {
	var unknown []string
	for name := range o.fields {
		if !slices.Contains(o.known, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		o.problems.add(o.field(name), quote(o.fields[name]),
			"the field is unknown, remove it or use one of "+strings.Join(o.known, ", "))
	}
}

func quote(value []byte) string { return strings.Join(strings.Fields(string(value)), " ") }
