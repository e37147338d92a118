package load

import (
	"math/rand/v2"

	"turmericpulley/core/audit"
)

const (
	// returnShare is the share of a kiosk session's writes that return a rental.
	returnShare = 0.3
	// refundShare is the share of a kiosk session's writes that refund a deposit.
	refundShare = 0.3
	// accountsShare is the share of a kiosk session's reads that are accounts runs, which read several tills.
	accountsShare = 0.05
	// tillsPerAccountsRun is the number of tills that one accounts run reads.
	tillsPerAccountsRun = 5
)

// newKioskRequest returns a random request of the kiosk workload.
func (s *session) newKioskRequest(random *rand.Rand, isWrite bool) request {
	draw := random.Float64()
	if isWrite {
		return s.newKioskWrite(random, draw)
	}
	if draw < accountsShare {
		return s.newAccountsRun(random)
	}
	return request{class: BalanceRead, steps: []step{{table: tillTable, id: s.run.counterID(s.ownCounter), kind: audit.Read}}}
}

func (s *session) newKioskWrite(random *rand.Rand, draw float64) request {
	if draw < refundShare {
		return request{class: Refund, steps: []step{{table: tillTable, id: s.run.counterID(s.ownCounter), kind: audit.Increment, value: 1}}}
	}
	if draw < refundShare+returnShare {
		if row := s.reserveRow(random); row != nil {
			return request{
				class:      Return,
				steps:      []step{{table: rentalTable, id: row.id, kind: audit.Write, value: row.version}},
				onFinished: func(outcome audit.Outcome) { s.releaseRow(row, outcome) },
			}
		}
	}
	return s.newInsert(Rental, rentalTable)
}

func (s *session) newAccountsRun(random *rand.Rand) request {
	first := random.IntN(s.counterCount)
	r := request{class: AccountsRun, transaction: true}
	for i := range min(tillsPerAccountsRun, s.counterCount) {
		id := s.run.counterID((first + i) % s.counterCount)
		r.steps = append(r.steps, step{table: tillTable, id: id, kind: audit.Read})
	}
	return r
}
