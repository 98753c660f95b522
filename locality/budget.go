package locality

import "time"

// budget bounds what is spent to a share of the requests that come, in every moment: it earns with each of them.
type budget struct{ saved float64 } // requests

// budgetWindow is the time of whose requests a budget may save up at most: a bound is exceeded by a hundredth in a second.
const budgetWindow = 10 * time.Millisecond

// rateMemory is the time constant of the rate of requests.
const rateMemory = time.Second

// earn adds a share of a request, up to the most that may be saved.
func (b *budget) earn(share, most float64) { b.saved = min(max(1, most), b.saved+share) }

// allows reports whether a request may be spent.
func (b *budget) allows() bool { return b.saved >= 1 }

// spend spends a request.
func (b *budget) spend() { b.saved-- }

// earnBudgets counts a request: the budgets of levels and localities are shares of the requests that come.
func (s *Selector) earnBudgets(now time.Duration) {
	s.requests.add(now, 1, rateMemory)
	most := s.requests.now(now, rateMemory) * budgetWindow.Seconds()
	for level := 1; level < len(s.levelBudgets); level++ {
		s.levelBudgets[level].earn(s.cfg.MaxSpillover, most)
	}
	for _, l := range s.localities[1:] {
		l.budget.earn(l.maxSpillover, most)
	}
}

// spendBudgets takes a request from the budgets of a locality and its level, and reports whether both allow it.
func (s *Selector) spendBudgets(locality int) bool {
	l := s.localities[locality]
	level := &s.levelBudgets[l.Level]
	if !l.budget.allows() || !level.allows() {
		return false
	}
	l.budget.spend()
	level.spend()
	return true
}
