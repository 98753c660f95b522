package test

import (
	"context"
	"fmt"
	"os"
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

// playCrowd plays a crowd beside a well-behaved client, and returns what that client saw, the crowd and the peak of the
// program's resident memory in kB. It fails the test if the program has ended.
func playCrowd(t *testing.T, limits crowdLimits, c crowdCase) (crowd.ProbeResult, *crowd.Crowd, int) {
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
	players := crowd.Start(crowd.Spec{Addr: w.Addr, Behavior: c.behavior, Clients: c.clients})
	res, err := crowd.Probe{Addr: w.Addr, Interval: probeInterval, For: crowdTime}.Run(ctx)
	players.Stop()
	if err != nil {
		t.Error(err)
	}
	u, err := w.Usage()
	if err != nil || u.PeakKB == 0 {
		t.Fatalf("the program has ended: %v\n%s", err, w.Log.String())
	}
	t.Logf("%d %s at %v: peak %.1f MB, probe %+v; crowd: %d connections, %d ended by the gateway, %d requests, %d answers, %d late, %d cut",
		c.clients, c.behavior, limits, float64(u.PeakKB)/1024, res, players.Connections.Load(), players.Ended.Load(), players.Completed.Load(),
		players.Answered.Load(), players.Late.Load(), players.Cut.Load())
	if os.Getenv("CROWD_COUNTERS") != "" {
		counters, err := w.Counters(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		var lines []string
		for k, v := range counters {
			if v != 0 {
				lines = append(lines, fmt.Sprintf("%s=%g", k, v))
			}
		}
		t.Log(strings.Join(lines, " "))
	}
	return res, players, u.PeakKB
}

// checkCrowd plays crowds at several limits. The program must stay within its memory limit, and the well-behaved client must
// be served as without the crowd.
func checkCrowd(t *testing.T, all []crowdLimits, cases ...crowdCase) {
	t.Helper()
	for _, limits := range all {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%d-%s-%v", c.clients, c.behavior, limits), func(t *testing.T) {
				res, players, peakKB := playCrowd(t, limits, c)
				if peakKB > limits.memoryMB<<10 {
					t.Errorf("peak memory %d kB, want at most the limit of %d MB", peakKB, limits.memoryMB)
				}
				if err := res.Check(); err != nil {
					t.Errorf("the well-behaved client: %v", err)
				}
				if late, cut := players.Late.Load(), players.Cut.Load(); late > 0 || cut > 0 {
					t.Errorf("%d complete orders of the crowd were answered late, and %d not at all", late, cut)
				}
			})
		}
	}
}

// crowdMatrix returns the limits at which crowds are played: a few in the default run, all with CROWD=full.
func crowdMatrix() []crowdLimits {
	if os.Getenv("CROWD") != "full" {
		return []crowdLimits{{32, 512}, {64, 1024}}
	}
	var all []crowdLimits
	for _, memoryMB := range []int{32, 64, 96, 192} {
		for _, sockets := range []int{1024, 512} {
			all = append(all, crowdLimits{memoryMB, sockets})
		}
	}
	return all
}

// Guards against memory beyond the limit, and against closed connections of others, while many clients do not finish their
// requests.
func TestUnfinishedRequestsLeaveOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Halfway, 300}, crowdCase{crowd.Trickle, 300}, crowdCase{crowd.ManyFields, 300})
	checkCrowd(t, []crowdLimits{{64, 1024}}, crowdCase{crowd.Halfway, 900})
}

// Guards against memory beyond the limit, and against rejections of others' requests, while many clients do not read answers.
func TestUnreadAnswersLeaveOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Unread, 300}, crowdCase{crowd.UnreadObject, 300})
}

// Guards against late answers and rejections of others' requests while some clients send as much as they can.
func TestFloodLeavesOthersServed(t *testing.T) {
	checkCrowd(t, crowdMatrix(), crowdCase{crowd.Unsound, 1}, crowdCase{crowd.Unsound, 8}, crowdCase{crowd.Sound, 1}, crowdCase{crowd.Sound, 300},
		crowdCase{crowd.UnknownClass, 300}, crowdCase{crowd.Cancels, 8}, crowdCase{crowd.Reconnect, 50})
}
