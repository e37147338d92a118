package load

import (
	"math/rand/v2"

	"turmericpulley/core/audit"
)

// confirmShare is the share of an order session's writes that confirm an order.
const confirmShare = 0.4

// orderReadShare is the share of an order session's reads that read one of the session's orders.
const orderReadShare = 0.3

// newOrdersRequest returns a random request of the order workload.
func (s *session) newOrdersRequest(random *rand.Rand, isWrite bool) request {
	if isWrite {
		if random.Float64() < confirmShare {
			if row := s.reserveRow(random); row != nil {
				return s.newConfirmOrder(random, row)
			}
		}
		return s.newInsert(PlaceOrder, orderTable)
	}
	if random.Float64() < orderReadShare {
		if id := s.randomRowID(random); id != "" {
			return request{class: OrderRead, steps: []step{{table: orderTable, id: id, kind: audit.Read}}}
		}
	}
	id := s.run.counterID(random.IntN(s.counterCount))
	return request{class: StockRead, steps: []step{{table: stockTable, id: id, kind: audit.Read}}}
}

func (s *session) newConfirmOrder(random *rand.Rand, row *insertedRow) request {
	return request{
		class:       ConfirmOrder,
		transaction: true,
		steps: []step{
			{table: orderTable, id: row.id, kind: audit.Write, value: row.version},
			{table: stockTable, id: s.run.counterID(random.IntN(s.counterCount)), kind: audit.Increment, value: 1},
		},
		onFinished: func(outcome audit.Outcome) { s.releaseRow(row, outcome) },
	}
}
