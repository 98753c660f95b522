package testbed

import "testing"

// An address is given out once. Guards the plots over processes: a gateway's link had been given the port of its front, which had
// not listened yet, and the program ended with "address already in use". Of some 7,000 ports that the system draws from, 2,000
// draws are sure to meet one twice.
func TestFreeAddrOnNeverRepeatsAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		addr, err := FreeAddrOn("127.63.7.9")
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was given twice", addr)
		}
		seen[addr] = true
	}
}
