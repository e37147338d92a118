package load

// Class is a kind of request with one purpose.
type Class string

const (
	// PlaceOrder inserts an order with a unique id.
	PlaceOrder Class = "placeOrder"
	// ConfirmOrder updates an order and its stock in one transaction.
	ConfirmOrder Class = "confirmOrder"
	// StockRead reads the counter of a stock row: how much of a roll has been sold.
	StockRead Class = "stockRead"
	// OrderRead reads an order that the session inserted.
	OrderRead Class = "orderRead"
	// Rental inserts a rental with a unique id.
	Rental Class = "rental"
	// Return updates a rental that the session inserted.
	Return Class = "return"
	// Refund increments the refunds of a till; it must not take effect twice.
	Refund Class = "refund"
	// BalanceRead reads the refunds of the session's till.
	BalanceRead Class = "balanceRead"
	// AccountsRun reads several tills in one transaction.
	AccountsRun Class = "accountsRun"
)
