package testbed

import "testing"

// FreeAddrOn must not return an address twice. In scenarios with several processes, a gateway's cluster address got the
// port that had been issued for its front, which was not listening yet, and the program exited with "address already in
// use". The system draws from about 7,000 ports, so 2,000 draws are certain to repeat one.
func TestFreeAddrOnNeverRepeatsAddress(t *testing.T) {
	returned := map[string]bool{}
	for range 2000 {
		addr, err := FreeAddrOn("127.63.7.9")
		if err != nil {
			t.Fatal(err)
		}
		if returned[addr] {
			t.Fatalf("FreeAddrOn returned %s twice", addr)
		}
		returned[addr] = true
	}
}
