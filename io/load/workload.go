package load

import "github.com/pkg/errors"

// Workload is the name of a mix of request classes.
type Workload string

const (
	// Orders is the order system of Senčnik Mreže.
	Orders Workload = "orders"
	// Kiosk is the rental system of Omprela.
	Kiosk Workload = "kiosk"
)

// Workloads lists the names of the workloads.
func Workloads() []string { return []string{string(Orders), string(Kiosk)} }

// classes returns the request classes of the workload.
func (w Workload) classes() ([]Class, error) {
	switch w {
	case Orders:
		return []Class{PlaceOrder, ConfirmOrder, StockRead, OrderRead}, nil
	case Kiosk:
		return []Class{Rental, Return, Refund, BalanceRead, AccountsRun}, nil
	default:
		return nil, errors.Errorf("workload %q does not exist, use %q or %q", w, Orders, Kiosk)
	}
}
