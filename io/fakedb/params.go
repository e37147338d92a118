package fakedb

import (
	"encoding/binary"
	"math"
	"strconv"

	"turmericpulley/io/fakedb/syntax"
)

// parameterTypes returns the types of a statement's parameters. A type that the caller gives takes precedence.
func parameterTypes(st syntax.Statement, given []uint32) []typeID {
	var types []typeID
	setType := func(o syntax.Operand, kind typeID) {
		if o.Kind != syntax.Parameter {
			return
		}
		for len(types) < o.Index {
			types = append(types, textType)
		}
		types[o.Index-1] = kind
	}
	switch st := st.(type) {
	case syntax.Insert:
		setType(st.Key, textType)
		setType(st.Value, textType)
	case syntax.Update:
		setType(st.Key, textType)
		if st.Add {
			setType(st.Value, bigintType)
		} else {
			setType(st.Value, textType)
		}
	case syntax.Delete:
		setType(st.Key, textType)
	case syntax.Select:
		setType(st.Filter.Operand, textType)
	case syntax.Constant:
		setType(st.Value, textType)
	case syntax.Activity:
		setType(st.Process, bigintType)
	case syntax.Call:
		for _, o := range st.Arguments {
			setType(o, argumentType(st.Name))
		}
	default:
	}
	for i, kind := range given {
		if kind != 0 && i < len(types) {
			types[i] = typeID(kind)
		}
	}
	return types
}

func argumentType(call string) typeID {
	if call == "pg_sleep" {
		return floatType
	}
	return bigintType
}

// decodeParameter converts a bound value to its text form.
func decodeParameter(data []byte, kind typeID, f format) (datum, error) {
	if data == nil {
		return datum{null: true}, nil
	}
	if f != binaryFormat {
		return textDatum(string(data)), nil
	}
	switch {
	case kind == bigintType && len(data) == 8:
		return numberDatum(int64(binary.BigEndian.Uint64(data))), nil
	case kind == integerType && len(data) == 4:
		return numberDatum(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case kind == shortType && len(data) == 2:
		return numberDatum(int64(int16(binary.BigEndian.Uint16(data)))), nil
	case kind == floatType && len(data) == 8:
		number := math.Float64frombits(binary.BigEndian.Uint64(data))
		return textDatum(strconv.FormatFloat(number, 'g', -1, 64)), nil
	case kind == boolType && len(data) == 1:
		if data[0] == 1 {
			return textDatum("t"), nil
		}
		return textDatum("f"), nil
	case kind == bigintType, kind == integerType, kind == shortType, kind == floatType, kind == boolType:
		return datum{}, fail(stateProtocolViolation, "a binary parameter has the wrong length; send the length of its type")
	default:
		return textDatum(string(data)), nil
	}
}

// arguments are the bound values of a statement's parameters.
type arguments []datum

// value returns the value of an operand.
func (a arguments) value(o syntax.Operand) (datum, error) {
	if o.Kind != syntax.Parameter {
		return textDatum(o.Text), nil
	}
	if o.Index > len(a) {
		return datum{}, fail(stateWrongParameterCount, "no value for parameter $"+strconv.Itoa(o.Index)+"; bind a value for it")
	}
	return a[o.Index-1], nil
}

// text returns the value of an operand that must not be null.
func (a arguments) text(o syntax.Operand) (string, error) {
	d, err := a.value(o)
	if err != nil {
		return "", err
	}
	if d.null {
		return "", fail(stateNotNull, "null is not allowed for a key, a value or an argument; pass a text")
	}
	return d.text, nil
}

// integer returns the value of an operand that must be a whole number.
func (a arguments) integer(o syntax.Operand) (int64, error) {
	text, err := a.text(o)
	if err != nil {
		return 0, err
	}
	return parseInteger(text)
}

func parseInteger(text string) (int64, error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fail(stateInvalidText, `invalid input syntax for type bigint: "`+text+`"`)
	}
	return number, nil
}
