package overload

import "testing"

// shedLately plays periods in which clients offer numbers of requests while the policy sheds everything, and returns how many
// requests of each client are shed in the last two.
func shedLately(ac *AdmissionController, perPeriod []int) []int {
	const periods, counted = 6, 2
	ac.SetPolicy(&AdmissionPolicy{Admit: [][]uint32{{0}}})
	clients := make([]ClientLoad, len(perPeriod))
	shed := make([]int, len(perPeriod))
	for period := range periods {
		for i, n := range perPeriod {
			for draw := range n {
				if _, ok := ac.AdmitFrom(&clients[i], 1, 0, 0, uint64(draw)); !ok && period >= periods-counted {
					shed[i]++
				}
			}
		}
		for range ticksPerPeriod {
			ac.periods.nextTick()
		}
	}
	return shed
}

// Guards against shedding that does not ask who causes the load: beside clients that offer much, one that offers little must be
// admitted.
func TestLightClientIsNotShed(t *testing.T) {
	for name, perPeriod := range map[string][]int{
		"one heavy client":   {5, 5000},
		"many heavy clients": {5, 60, 60, 60, 60, 60, 60},
	} {
		got := shedLately(NewAdmissionController(1, 1), perPeriod)
		if got[0] != 0 {
			t.Errorf("%s: %d of the light client's requests were shed, want none", name, got[0])
		}
		for i, shed := range got[1:] {
			if shed != 2*perPeriod[i+1] {
				t.Errorf("%s: %d of %d requests of a heavy client were shed, want all", name, shed, 2*perPeriod[i+1])
			}
		}
	}
}

// Clients that offer alike must all be shed by the policy.
func TestAlikeClientsAreShedAlike(t *testing.T) {
	perPeriod := []int{20, 24, 18, 30, 22, 14}
	for i, shed := range shedLately(NewAdmissionController(1, 1), perPeriod) {
		if shed != 2*perPeriod[i] {
			t.Errorf("%d of %d requests of a client were shed, want all", shed, 2*perPeriod[i])
		}
	}
}
