package overload

import "testing"

// shedLately plays periods in which clients offer numbers of requests while the policy sheds everything, and returns how many
// requests of each client are shed in the last two.
func shedLately(ac *AdmissionController, perPeriod []int) []int {
	const counted = 2
	return shedInLast(counted, ac, len(perPeriod), func(client, _ int) int { return perPeriod[client] })
}

// shedInLast is shedLately for clients whose requests differ by period, and the last counted of twelve periods.
func shedInLast(counted int, ac *AdmissionController, n int, offered func(client, period int) int) []int {
	const periods = 12
	ac.SetPolicy(&AdmissionPolicy{Admit: [][]uint32{{0}}})
	clients := make([]ClientLoad, n)
	shed := make([]int, n)
	for period := range periods {
		for i := range clients {
			for draw := range offered(i, period) {
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

// Guards against shedding a client that offers little because nothing of it was read for a while, as when the poller is late: it was taken
// for a new one.
func TestLightClientIsNotShedAfterQuietPeriods(t *testing.T) {
	for _, every := range []int{2, 3} {
		shed := shedInLast(6, NewAdmissionController(1, 1), 7, func(client, period int) int {
			switch {
			case client > 0:
				return 60
			case period%every == 0:
				return 5
			}
			return 0
		})
		if shed[0] != 0 {
			t.Errorf("read in each %dth period: %d of the light client's requests were shed, want none", every, shed[0])
		}
	}
}

// Clients that all offer as much in bursts must all be shed by the policy, whatever the pauses between the bursts.
func TestAlikeBurstsAreShedAlike(t *testing.T) {
	const clients, burst, counted = 7, 60, 10
	for every := 1; every <= 6; every++ {
		offered := func(client, period int) int {
			if (client+period)%every == 0 {
				return burst
			}
			return 0
		}
		for i, shed := range shedInLast(counted, NewAdmissionController(1, 1), clients, offered) {
			want := 0
			for period := 2; period < 2+counted; period++ {
				want += offered(i, period)
			}
			if shed != want {
				t.Errorf("a burst in each %dth period: %d of %d requests of client %d were shed, want all", every, shed, want, i)
			}
		}
	}
}
