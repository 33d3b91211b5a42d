// Package retry limits the number of attempts after a request's first one. The
// package is pure.
package retry

// Parameters of a budget. With ratio r and burst b, n requests whose attempts all
// fail cause at most n*r+b retries, regardless of the number of attempts allowed
// per request.
const (
	ratio = 0.05
	burst = 25
)

// Budget is a retry budget: a token bucket that requests fill and retries drain.
// Without it, targets that fail under overload would receive every request several
// times and never recover. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Deposit counts a request's first attempt.
func (b *Budget) Deposit() { b.tokens = min(burst, b.tokens+ratio) }

// Withdraw takes a token for one retry, or returns false if none is left.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
