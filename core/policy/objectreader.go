package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// objectReader decodes the fields of one JSON object and collects the problems with them.
type objectReader struct {
	// path is the field path of the object in the document; empty for the document itself.
	path   string
	fields map[string]json.RawMessage
	// knownFields are the fields that the caller has asked for.
	knownFields []string
	problems    *problems
}

// newObjectReader splits an object into its fields. If the data is not an object, it records the problem and returns nil.
func newObjectReader(path string, data []byte, collected *problems) *objectReader {
	o := &objectReader{path: path, fields: map[string]json.RawMessage{}, problems: collected}
	if err := o.parseFields(data); err != nil {
		collected.add(o.displayPath(), collapseSpace(data), "expected one well-formed JSON object ("+err.Error()+")")
		return nil
	}
	return o
}

func (o *objectReader) parseFields(data []byte) error {
	if len(data) > MaxDocumentBytes {
		return fmt.Errorf("%d bytes exceed the limit of %d", len(data), MaxDocumentBytes)
	}
	if !json.Valid(data) {
		var ignored json.RawMessage
		return json.Unmarshal(data, &ignored)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	first, err := decoder.Token()
	if err != nil {
		return err
	}
	if first != json.Delim('{') {
		return fmt.Errorf("it begins with %v", first)
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
	if _, duplicate := o.fields[name]; duplicate {
		o.problems.add(o.fieldPath(name), collapseSpace(value), "the field may occur only once")
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

// decodeField decodes a field into destination and reports whether the field is present and of the right type. The remedy is
// reported with a field of the wrong type.
func (o *objectReader) decodeField(name string, destination any, remedy string) bool {
	o.knownFields = append(o.knownFields, name)
	value, present := o.fields[name]
	if !present {
		return false
	}
	if string(value) == "null" || json.Unmarshal(value, destination) != nil {
		o.problems.add(o.fieldPath(name), collapseSpace(value), remedy)
		return false
	}
	return true
}

// requireField records a problem if the field is missing.
func (o *objectReader) requireField(name, remedy string) {
	if _, present := o.fields[name]; !present {
		o.problems.add(o.fieldPath(name), "missing", remedy)
	}
}

func (o *objectReader) integer(name string, lowest, highest int, hint string) int {
	remedy := fmt.Sprintf("expected a whole number from %d to %d%s", lowest, highest, hint)
	var value int
	if o.decodeField(name, &value, remedy) && (value < lowest || value > highest) {
		o.problems.add(o.fieldPath(name), collapseSpace(o.fields[name]), remedy)
	}
	return value
}

func (o *objectReader) requiredInteger(name string, lowest, highest int) int {
	o.requireField(name, fmt.Sprintf("expected a whole number from %d to %d", lowest, highest))
	return o.integer(name, lowest, highest, "")
}

func (o *objectReader) duration(name string, lowest, highest time.Duration, hint string) Duration {
	remedy := fmt.Sprintf(`expected a duration such as "2s" from %s to %s%s`, lowest, highest, hint)
	var value Duration
	if o.decodeField(name, &value, remedy) && (value.Duration() < lowest || value.Duration() > highest) {
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

// list returns the elements of a required field that must be a non-empty array.
func (o *objectReader) list(name string, maxLength int) []json.RawMessage {
	remedy := fmt.Sprintf("expected a list of 1 to %d elements", maxLength)
	o.requireField(name, remedy)
	var values []json.RawMessage
	if o.decodeField(name, &values, remedy) && (len(values) == 0 || len(values) > maxLength) {
		o.problems.add(o.fieldPath(name), fmt.Sprintf("a list of %d", len(values)), remedy)
	}
	return values
}

// reportUnknownFields records a problem for each field that the caller has not asked for; it is called last.
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
			"unknown field; remove it or use one of "+strings.Join(o.knownFields, ", "))
	}
}

// collapseSpace returns the value on one line, with single spaces.
func collapseSpace(value []byte) string { return strings.Join(strings.Fields(string(value)), " ") }
