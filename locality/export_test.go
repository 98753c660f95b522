package locality

// Panicking reports whether the selector is in panic mode.
func (s *Selector) Panicking() bool { return s.panicking }

// SpilloverShare returns the share of the own load that goes to other localities.
func (s *Selector) SpilloverShare() (share float64) {
	for _, spill := range s.spillShares {
		share += spill
	}
	return share
}
