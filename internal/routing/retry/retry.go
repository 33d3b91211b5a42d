// Package retry bounds how many attempts follow a first one. The package is
// pure.
package retry

// The terms of a budget. With ratio r and burst b, n requests whose every
// attempt fails cause at most n*r+b further attempts, whatever the number of
// attempts that one request may make.
const (
	ratio = 0.05
	burst = 25
)

// Budget is a token bucket that requests fill and retries empty. Without it,
// targets that fail under overload get every request several times and never
// recover. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Deposit counts a request's first attempt.
func (b *Budget) Deposit() { b.tokens = min(burst, b.tokens+ratio) }

// Withdraw takes one retry, or reports false when none is left.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
