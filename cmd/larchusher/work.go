package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"larchusher/maintenance"
)

// stagePollInterval is how often `work wait` looks at a request.
const stagePollInterval = 500 * time.Millisecond

// workCommand is the sub-command `work`.
type workCommand struct {
	Ask      workAsk      `cmd:"" help:"Ask for work on a machine."`
	List     workList     `cmd:"" help:"List what is asked, granted and out."`
	Show     workShow     `cmd:"" help:"Show a request, with who moved it when, and why."`
	Withdraw workWithdraw `cmd:"" help:"Withdraw a request that is not out yet."`
	Finish   workFinish   `cmd:"" help:"Say that the work on a machine is done."`
	Wait     workWait     `cmd:"" help:"Wait until a machine's request is at a stage, or ended."`
	Plan     workPlan     `cmd:"" help:"Say in what order requests would go, and which bound holds each back now."`
	Forget   workForget   `cmd:"" help:"Say that a gateway is gone for good: nothing waits for it any more. It must not be running."`
}

type workAsk struct {
	clusterFlags
	Machine  string        `arg:"" help:"Name of the box, upper cache or gateway."`
	For      time.Duration `help:"How long it is likely to be out." required:""`
	By       time.Duration `help:"Wanted within so long from now; earlier ones go first."`
	Priority int           `help:"Higher goes first, from -100 to 100."`
	After    []string      `help:"Machines whose open requests go first."`
	Key      string        `help:"Marks tries of one request as the same; drawn without."`
}

// Run asks.
func (a *workAsk) Run() error {
	if a.Key == "" {
		b := make([]byte, 8)
		_, _ = rand.Read(b) // it never fails
		a.Key = hex.EncodeToString(b)
	}
	q := &maintenance.RequestSpec{Key: a.Key, Machine: a.Machine, DurationMs: a.For.Milliseconds(), Priority: a.Priority, After: a.After}
	if a.By > 0 {
		q.DeadlineMs = time.Now().Add(a.By).UnixMilli()
	}
	r, err := a.execute(&maintenance.Command{Request: q})
	if err != nil {
		return err
	}
	_, err = fmt.Printf("request %d\n", r.ID)
	return err
}

type workList struct {
	clusterFlags
	All bool `help:"Those that ended, too."`
}

// Run lists.
func (l *workList) Run() error {
	s, err := l.maintenanceState()
	if err != nil {
		return err
	}
	w := newTable(os.Stdout)
	w.row("ID\tMACHINE\tKIND\tPLACE\tSTAGE\tSINCE\tFOR")
	for _, r := range s.Requests {
		if r.Stage.Ended() && !l.All {
			continue
		}
		stage := string(r.Stage)
		if r.Overdue {
			stage += ", overdue"
		}
		last := r.History[len(r.History)-1]
		w.row("%d\t%s\t%s\t%s\t%s\t%s\t%v", r.ID, r.Machine, r.Kind, r.Zone, stage, time.UnixMilli(last.AtMs).UTC().Format(time.RFC3339),
			time.Duration(r.DurationMs)*time.Millisecond)
	}
	return w.flush()
}

type workShow struct {
	clusterFlags
	Machine string `arg:"" help:"Name of the machine."`
}

// Run shows the latest request for a machine.
func (c *workShow) Run() error {
	s, err := c.maintenanceState()
	if err != nil {
		return err
	}
	for i := len(s.Requests) - 1; i >= 0; i-- {
		if r := s.Requests[i]; r.Machine == c.Machine {
			for _, st := range r.History {
				fmt.Println(time.UnixMilli(st.AtMs).UTC().Format("2006-01-02T15:04:05.000Z"), r.AuditLine(st))
			}
			return nil
		}
	}
	return fmt.Errorf("work: nothing was asked for %q", c.Machine)
}

type workWithdraw struct {
	clusterFlags
	Machine string `arg:"" help:"Name of the machine."`
	Why     string `help:"Reason, for the history."`
}

// Run withdraws.
func (c *workWithdraw) Run() error {
	_, err := c.execute(&maintenance.Command{Withdraw: &maintenance.Target{Name: c.Machine, Reason: c.Why}})
	return err
}

type workFinish struct {
	clusterFlags
	Machine string `arg:"" help:"Name of the machine."`
	Why     string `help:"Remark, for the history."`
}

// Run finishes.
func (c *workFinish) Run() error {
	_, err := c.execute(&maintenance.Command{Finish: &maintenance.Target{Name: c.Machine, Reason: c.Why}})
	return err
}

type workForget struct {
	clusterFlags
	Gateway string `arg:"" help:"Name of the gateway."`
}

// Run forgets a gateway.
func (c *workForget) Run() error {
	_, err := c.execute(&maintenance.Command{Forget: &maintenance.Target{Name: c.Gateway}})
	return err
}

type workWait struct {
	clusterFlags
	Machine string        `arg:"" help:"Name of the machine."`
	Until   string        `help:"Stage to wait for." default:"done"`
	Within  time.Duration `help:"How long to wait." default:"1h"`
}

// Run waits.
func (c *workWait) Run() error {
	end := time.Now().Add(c.Within)
	for {
		s, err := c.maintenanceState()
		if err != nil {
			return err
		}
		stage := maintenance.Stage("")
		for _, r := range s.Requests {
			if r.Machine == c.Machine {
				stage = r.Stage
			}
		}
		switch {
		case string(stage) == c.Until:
			return nil
		case stage == "" || stage.Ended():
			return fmt.Errorf("work: %s is %s", c.Machine, strings.TrimSpace("not on its way "+string(stage)))
		case time.Now().After(end):
			return fmt.Errorf("work: %s is still %s after %v", c.Machine, stage, c.Within)
		}
		time.Sleep(stagePollInterval)
	}
}

type workPlan struct{ clusterFlags }

// Run plans.
func (c *workPlan) Run() error {
	m, err := c.sendCommand(nil, "plan")
	if err != nil {
		return err
	}
	var all []maintenance.PlanEntry
	if err := json.Unmarshal(m.Value, &all); err != nil {
		return fmt.Errorf("work: the plan: %w", err)
	}
	w := newTable(os.Stdout)
	w.row("WAVE\tID\tMACHINE\tHELD BACK NOW BY")
	for _, v := range all {
		wave := fmt.Sprint(v.Wave)
		if v.Wave == 0 {
			wave = "-"
		}
		w.row("%s\t%d\t%s\t%s", wave, v.Request.ID, v.Request.Machine, v.BlockedBy)
	}
	return w.flush()
}
