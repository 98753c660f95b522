package locality

import "time"

// budget is a token bucket that limits the requests sent to a locality or level to a share of all
// requests, over any short time. Each request adds a share of a token.
type budget struct{ tokens float64 } // requests that may be sent now

// budgetWindow limits the tokens that a budget can hold to those of the requests of this time. A
// limit is thus exceeded by at most a hundredth within a second.
const budgetWindow = 10 * time.Millisecond

// rateTimeConstant is the time constant of the request rate.
const rateTimeConstant = time.Second

// refill adds a share of a token. The budget holds at most maxTokens, or 1 if that is more.
func (b *budget) refill(share, maxTokens float64) { b.tokens = min(max(1, maxTokens), b.tokens+share) }

// hasToken reports whether the budget allows a request.
func (b *budget) hasToken() bool { return b.tokens >= 1 }

// take takes the token of a request.
func (b *budget) take() { b.tokens-- }

// refillBudgets adds to the budgets of levels and localities at each request, as these are shares
// of the requests.
func (s *Selector) refillBudgets(now time.Duration) {
	s.requests.add(now, 1, rateTimeConstant)
	maxTokens := s.requests.valueAt(now, rateTimeConstant) * budgetWindow.Seconds()
	for level := 1; level < len(s.levelBudgets); level++ {
		s.levelBudgets[level].refill(s.cfg.MaxSpillover, maxTokens)
	}
	for _, l := range s.localities[1:] {
		l.budget.refill(l.maxSpillover, maxTokens)
	}
}

// takeFromBudgets takes a token from the budgets of a locality and of its level. It returns false
// and takes none if one of them is empty.
func (s *Selector) takeFromBudgets(locality int) bool {
	l := s.localities[locality]
	level := &s.levelBudgets[l.Level]
	if !l.budget.hasToken() || !level.hasToken() {
		return false
	}
	l.budget.take()
	level.take()
	return true
}
