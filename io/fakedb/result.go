package fakedb

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// typeID is the OID of a PostgreSQL type.
type typeID uint32

const (
	boolType    typeID = 16
	bigintType  typeID = 20
	shortType   typeID = 21
	integerType typeID = 23
	textType    typeID = 25
	floatType   typeID = 701
	voidType    typeID = 2278
)

// format is the format code of a value on the wire.
type format int16

const (
	textFormat   format = 0
	binaryFormat format = 1
)

const (
	bigintSize   = 8
	variableSize = -1
)

// column describes one column of a result.
type column struct {
	name string
	kind typeID
}

// datum is one value; its text is PostgreSQL's text form.
type datum struct {
	null bool
	text string
}

// row is one row of a result.
type row []datum

// result is what a statement returns.
type result struct {
	columns []column
	rows    []row
	tag     string
	notice  *failure
}

func textDatum(text string) datum { return datum{text: text} }

func numberDatum(number int64) datum { return datum{text: strconv.FormatInt(number, 10)} }

// encode returns a value in the wanted format. Only bigint and boolean differ between the two formats here.
func (d datum) encode(kind typeID, wanted format) []byte {
	if d.null {
		return nil
	}
	if wanted != binaryFormat {
		return []byte(d.text)
	}
	switch kind {
	case bigintType:
		number, _ := strconv.ParseInt(d.text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	case boolType:
		if d.text == "t" {
			return []byte{1}
		}
		return []byte{0}
	default:
		return []byte(d.text)
	}
}

// rowDescription returns the RowDescription message of the columns, with the formats as formatOf reads them.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		size := int16(variableSize)
		switch c.kind {
		case bigintType:
			size = bigintSize
		case boolType:
			size = 1
		default:
		}
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  uint32(c.kind),
			DataTypeSize: size,
			TypeModifier: variableSize,
			Format:       int16(formatOf(formats, i)),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// formatOf returns the format of value i. formats holds one format for all values, or one for each; without one, the value is in
// text format.
func formatOf(formats []int16, i int) format {
	switch {
	case len(formats) == 0:
		return textFormat
	case len(formats) == 1:
		return format(formats[0])
	case i < len(formats):
		return format(formats[i])
	default:
		return textFormat
	}
}

// encodeRow returns the message with the values of a row.
func encodeRow(columns []column, r row, formats []int16) *pgproto3.DataRow {
	values := make([][]byte, len(r))
	for i, d := range r {
		values[i] = d.encode(columns[i].kind, formatOf(formats, i))
	}
	return &pgproto3.DataRow{Values: values}
}
