package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// objectReader reads the fields of one JSON object and collects what is wrong with them.
type objectReader struct {
	path        string
	fields      map[string]json.RawMessage
	knownFields []string
	problems    *problems
}

// newObjectReader splits the object; nil means that the data is no object.
func newObjectReader(path string, data []byte, found *problems) *objectReader {
	o := &objectReader{path: path, fields: map[string]json.RawMessage{}, problems: found}
	if err := o.parseFields(data); err != nil {
		found.add(o.displayPath(), collapseSpace(data), "give one well-formed JSON object ("+err.Error()+")")
		return nil
	}
	return o
}

func (o *objectReader) parseFields(data []byte) error {
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
		if err := o.parseField(decoder); err != nil {
			return err
		}
	}
	return nil
}

func (o *objectReader) parseField(decoder *json.Decoder) error {
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
		o.problems.add(o.fieldPath(name), collapseSpace(value), "give the field once")
	}
	o.fields[name] = value
	return nil
}

func (o *objectReader) displayPath() string {
	if o.path == "" {
		return "document"
	}
	return o.path
}

func (o *objectReader) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// decodeField takes a field's value into place and reports whether it was there and of the right type.
func (o *objectReader) decodeField(name string, place any, remedy string) bool {
	o.knownFields = append(o.knownFields, name)
	value, given := o.fields[name]
	if !given {
		return false
	}
	if string(value) == "null" || json.Unmarshal(value, place) != nil {
		o.problems.add(o.fieldPath(name), collapseSpace(value), remedy)
		return false
	}
	return true
}

// requireField reports the absence of a field.
func (o *objectReader) requireField(name, remedy string) {
	if _, given := o.fields[name]; !given {
		o.problems.add(o.fieldPath(name), "missing", remedy)
	}
}

func (o *objectReader) integer(name string, lowest, highest int, extra string) int {
	remedy := fmt.Sprintf("give a whole number from %d to %d%s", lowest, highest, extra)
	var value int
	if o.decodeField(name, &value, remedy) && (value < lowest || value > highest) {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), remedy)
	}
	return value
}

func (o *objectReader) requiredInteger(name string, lowest, highest int) int {
	o.requireField(name, fmt.Sprintf("give a whole number from %d to %d", lowest, highest))
	return o.integer(name, lowest, highest, "")
}

func (o *objectReader) duration(name string, lowest, highest time.Duration, extra string) Duration {
	remedy := fmt.Sprintf(`give a duration such as "2s" from %s to %s%s`, lowest, highest, extra)
	var value Duration
	if o.decodeField(name, &value, remedy) && (value.Std() < lowest || value.Std() > highest) {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), remedy)
	}
	return value
}

func (o *objectReader) requiredName(name string) string {
	o.requireField(name, nameRemedy)
	return o.optionalName(name)
}

func (o *objectReader) optionalName(name string) string {
	var value string
	if o.decodeField(name, &value, nameRemedy) && !ValidName(value) {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), nameRemedy)
	}
	return value
}

// list returns the elements of a field that must be a non-empty array.
func (o *objectReader) list(name string, highest int) []json.RawMessage {
	remedy := fmt.Sprintf("give a list of 1 to %d", highest)
	o.requireField(name, remedy)
	var values []json.RawMessage
	if o.decodeField(name, &values, remedy) && (len(values) == 0 || len(values) > highest) {
		o.problems.add(o.fieldPath(name), fmt.Sprintf("a list of %d", len(values)), remedy)
	}
	return values
}

// reportUnknownFields reports the fields that nothing has read.
func (o *objectReader) reportUnknownFields() {
	var unknown []string
	for name := range o.fields {
		if !slices.Contains(o.knownFields, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]),
			"the field is unknown, remove it or use one of "+strings.Join(o.knownFields, ", "))
	}
}

func collapseSpace(value []byte) string { return strings.Join(strings.Fields(string(value)), " ") }
