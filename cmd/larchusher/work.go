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

// stagePollInterval is the interval at which `work wait` queries the stage of a request.
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

// workAsk is the sub-command `work ask`.
type workAsk struct {
	clusterFlags
	Machine  string        `arg:"" help:"Name of the box, upper cache or gateway."`
	For      time.Duration `help:"How long it is likely to be out." required:""`
	By       time.Duration `help:"Wanted within so long from now; earlier ones go first."`
	Priority int           `help:"Higher goes first, from -100 to 100."`
	After    []string      `help:"Machines whose open requests go first."`
	Key      string        `help:"Marks tries of one request as the same; drawn without."`
}

// Run submits a maintenance request for a machine, and prints its number.
func (a *workAsk) Run() error {
	if a.Key == "" {
		b := make([]byte, 8)
		_, _ = rand.Read(b) // crypto/rand.Read never fails
		a.Key = hex.EncodeToString(b)
	}
	spec := &maintenance.RequestSpec{Key: a.Key, Machine: a.Machine, DurationMs: a.For.Milliseconds(), Priority: a.Priority, After: a.After}
	if a.By > 0 {
		spec.DeadlineMs = time.Now().Add(a.By).UnixMilli()
	}
	r, err := a.execute(&maintenance.Command{Request: spec})
	if err != nil {
		return err
	}
	_, err = fmt.Printf("request %d\n", r.ID)
	return err
}

// workList is the sub-command `work list`.
type workList struct {
	clusterFlags
	All bool `help:"Those that ended, too."`
}

// Run prints a table of the maintenance requests: the open ones, or all.
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

// workShow is the sub-command `work show`.
type workShow struct {
	clusterFlags
	Machine string `arg:"" help:"Name of the machine."`
}

// Run prints the history of the latest maintenance request for a machine.
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
	return fmt.Errorf("work: no maintenance request for the machine %q", c.Machine)
}

// workWithdraw is the sub-command `work withdraw`.
type workWithdraw struct {
	clusterFlags
	Machine string `arg:"" help:"Name of the machine."`
	Why     string `help:"Reason, for the history."`
}

// Run withdraws a machine's maintenance request.
func (c *workWithdraw) Run() error {
	_, err := c.execute(&maintenance.Command{Withdraw: &maintenance.Target{Name: c.Machine, Reason: c.Why}})
	return err
}

// workFinish is the sub-command `work finish`.
type workFinish struct {
	clusterFlags
	Machine string `arg:"" help:"Name of the machine."`
	Why     string `help:"Remark, for the history."`
}

// Run reports that the maintenance of a machine is done.
func (c *workFinish) Run() error {
	_, err := c.execute(&maintenance.Command{Finish: &maintenance.Target{Name: c.Machine, Reason: c.Why}})
	return err
}

// workForget is the sub-command `work forget`.
type workForget struct {
	clusterFlags
	Gateway string `arg:"" help:"Name of the gateway."`
}

// Run removes a gateway that is gone for good from those that maintenance waits for. The gateway must not be running.
func (c *workForget) Run() error {
	_, err := c.execute(&maintenance.Command{Forget: &maintenance.Target{Name: c.Gateway}})
	return err
}

// workWait is the sub-command `work wait`.
type workWait struct {
	clusterFlags
	Machine string        `arg:"" help:"Name of the machine."`
	Until   string        `help:"Stage to wait for." default:"done"`
	Within  time.Duration `help:"How long to wait." default:"1h"`
}

// Run polls until a machine's latest maintenance request is at the wanted stage. It fails if the request ends at another stage, if
// there is none, or after the time of the flag --within.
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
			return fmt.Errorf("work: no maintenance request is in progress for %s (%s)", c.Machine, strings.TrimSpace("stage of the latest one, if there is any: "+string(stage)))
		case time.Now().After(end):
			return fmt.Errorf("work: the maintenance request of %s is still at the stage %s after %v", c.Machine, stage, c.Within)
		}
		time.Sleep(stagePollInterval)
	}
}

// workPlan is the sub-command `work plan`.
type workPlan struct{ clusterFlags }

// Run prints the order in which open maintenance requests would be granted, and the limit that blocks each one now.
func (c *workPlan) Run() error {
	m, err := c.sendCommand(nil, "plan")
	if err != nil {
		return err
	}
	var entries []maintenance.PlanEntry
	if err := json.Unmarshal(m.Value, &entries); err != nil {
		return fmt.Errorf("work: plan of the gateway not readable: %w", err)
	}
	w := newTable(os.Stdout)
	w.row("WAVE\tID\tMACHINE\tHELD BACK NOW BY")
	for _, entry := range entries {
		wave := fmt.Sprint(entry.Wave)
		if entry.Wave == 0 {
			wave = "-"
		}
		w.row("%s\t%d\t%s\t%s", wave, entry.Request.ID, entry.Request.Machine, entry.BlockedBy)
	}
	return w.flush()
}
