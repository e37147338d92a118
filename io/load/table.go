package load

import "turmericpulley/core/audit"

// table is one table of a workload. Every table has the text columns key and value, and key is unique.
type table string

const (
	orderTable  table = "orders"
	stockTable  table = "stock"
	rentalTable table = "rentals"
	tillTable   table = "tills"
)

// scanStatement returns the statement that reads the rows whose keys match the LIKE pattern $1.
func (t table) scanStatement() string {
	return "SELECT key, value FROM " + string(t) + " WHERE key LIKE $1"
}

// statement returns the statement for an operation; $1 is the key and $2 the value.
func (t table) statement(kind audit.Kind) string {
	switch kind {
	case audit.Insert:
		return "INSERT INTO " + string(t) + " (key, value) VALUES ($1, $2)"
	case audit.Write:
		return "UPDATE " + string(t) + " SET value = $2 WHERE key = $1"
	case audit.Increment:
		return "UPDATE " + string(t) + " SET value = value::bigint + $2::bigint WHERE key = $1"
	case audit.Read:
		return "SELECT value FROM " + string(t) + " WHERE key = $1"
	default:
		return ""
	}
}

// insertTable returns the table into which sessions insert rows.
func (w Workload) insertTable() table {
	if w == Kiosk {
		return rentalTable
	}
	return orderTable
}

// counterTable returns the table whose rows sessions increment.
func (w Workload) counterTable() table {
	if w == Kiosk {
		return tillTable
	}
	return stockTable
}
