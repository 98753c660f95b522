package test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"larchusher/lab/crowd"
	"larchusher/lab/fakeserver"
	"larchusher/lab/testbed"
)

// crowdCase is a crowd beside a well-behaved client.
type crowdCase struct {
	behavior crowd.Behavior
	clients  int
}

// crowdLimits are the limits on a gateway's memory and file descriptors with which a crowd is played.
type crowdLimits struct{ memoryMB, sockets int }

func (l crowdLimits) String() string { return fmt.Sprintf("%dMB-%d", l.memoryMB, l.sockets) }

const (
	crowdTime     = 3 * time.Second       // for which the well-behaved client sends requests beside the crowd
	probeInterval = 50 * time.Millisecond // between two of its requests
)

// playCrowd plays a crowd beside a well-behaved client, and returns what that client saw, what the crowd saw, and the peak of the
// program's resident memory in kB. It fails the test if the program has ended.
func playCrowd(t *testing.T, limits crowdLimits, c crowdCase) (crowd.ProbeResult, crowd.Counts, int) {
	t.Helper()
	ctx, w := startTestbed(t, testbed.Config{MemoryMB: limits.memoryMB, Sockets: limits.sockets, Caches: 3})
	for _, s := range w.Stores {
		s.SetHandler(func(a *fakeserver.Request) {
			if a.Fields["lane"] == "orders" {
				a.Serve("warm", "done")
				return
			}
			fakeserver.ServeHit(a)
		})
	}
	players, err := crowd.StartProcess(os.Args[0], crowd.Spec{Addr: w.Addr, Behavior: c.behavior, Clients: c.clients})
	if err != nil {
		t.Fatal(err)
	}
	res, err := crowd.Probe{Addr: w.Addr, Interval: probeInterval, For: crowdTime}.Run(ctx)
	if err != nil {
		t.Error(err)
	}
	counts, err := players.Stop()
	if err != nil {
		t.Error(err)
	}
	u, err := w.Usage()
	if err != nil || u.PeakKB == 0 {
		t.Fatalf("the program has ended: %v\n%s", err, w.Log.String())
	}
	t.Logf("%d %s at %v: peak %.1f MB, probe %+v; crowd %+v", c.clients, c.behavior, limits, float64(u.PeakKB)/1024, res, counts)
	if os.Getenv("CROWD_COUNTERS") != "" {
		logCounters(t, w)
	}
	return res, counts, u.PeakKB
}

// logCounters logs the program's counters that are not 0.
func logCounters(t *testing.T, w *testbed.Gateway) {
	t.Helper()
	counters, err := w.Counters(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if counters[name] != 0 {
			lines = append(lines, fmt.Sprintf("%s=%g", name, counters[name]))
		}
	}
	t.Log(strings.Join(lines, " "))
}

// checkCrowd plays crowds at several limits. The program must stay within its memory limit, and the well-behaved client must
// be served as without the crowd.
func checkCrowd(t *testing.T, all []crowdLimits, cases ...crowdCase) {
	t.Helper()
	for _, limits := range all {
		for _, c := range cases {
			if c.clients == manyClients && fullCrowds() && limits.sockets == mostSockets {
				c.clients = mostClients
			}
			t.Run(fmt.Sprintf("%d-%s-%v", c.clients, c.behavior, limits), func(t *testing.T) {
				res, counts, peakKB := playCrowd(t, limits, c)
				if peakKB > limits.memoryMB<<10 {
					t.Errorf("peak memory %d kB, want at most the limit of %d MB", peakKB, limits.memoryMB)
				}
				if err := res.Check(); err != nil {
					t.Errorf("the well-behaved client: %v", err)
				}
				if counts.Late > 0 || counts.Cut > 0 {
					t.Errorf("%d complete orders of the crowd were answered late, and %d not at all", counts.Late, counts.Cut)
				}
			})
		}
	}
}

const (
	manyClients = 300
	mostSockets = 1024
	mostClients = mostSockets / 3 // clients hold at most a third of the descriptors
)

// fullCrowds reports whether crowds are played at all limits.
func fullCrowds() bool { return os.Getenv("CROWD") == "full" }

// crowdMatrix returns the limits at which crowds are played: a few in the default run, all with CROWD=full.
func crowdMatrix() []crowdLimits {
	if !fullCrowds() {
		return []crowdLimits{{32, 512}, {64, mostSockets}}
	}
	var all []crowdLimits
	for _, memoryMB := range []int{32, 64, 96, 192} {
		for _, sockets := range []int{mostSockets, 512} {
			all = append(all, crowdLimits{memoryMB, sockets})
		}
	}
	return all
}

// Guards against memory beyond the limit, and against closed connections of others, while many clients do not finish their
// requests.
func TestUnfinishedRequestsLeaveOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Halfway, manyClients}, crowdCase{crowd.Trickle, manyClients}, crowdCase{crowd.ManyFields, manyClients})
	checkCrowd(t, []crowdLimits{{64, mostSockets}}, crowdCase{crowd.Halfway, 900})
}

// Guards against memory beyond the limit, and against rejections of others' requests, while many clients do not read answers.
func TestUnreadAnswersLeaveOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Unread, manyClients})
}

// Guards against late answers and rejections of others' requests while some clients send as much as they can.
func TestFloodLeavesOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Unsound, 1}, crowdCase{crowd.Unsound, 8}, crowdCase{crowd.Sound, 1},
		crowdCase{crowd.UnknownClass, manyClients}, crowdCase{crowd.Cancels, 8})
}

// Guards against rejections of others' requests while many clients have requests served at full speed, read no answers to them, or
// close their connections behind them and connect again.
func TestCrowdOfServedClientsLeavesOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Sound, manyClients}, crowdCase{crowd.UnreadObject, manyClients}, crowdCase{crowd.Reconnect, 50})
}
