package routing

import (
	"fmt"
	"time"
)

// Reconfigured says that other classes, and another limit on attempts, hold for the requests that come from now on. Those
// that are open keep the rules by which they came.
type Reconfigured struct {
	Classes     []Class
	MaxAttempts int // 0: no limit
}

func (Reconfigured) event() {}

// PauseSlowStart says that nothing is to be sent to stores that are cold until a time, on the director's clock: another process
// has the budget, or had it a moment ago.
type PauseSlowStart struct{ Until time.Duration }

func (PauseSlowStart) event() {}

// reconfigure takes in other classes. What was learned of a class goes on under its name.
func (d *Director) reconfigure(e Reconfigured) {
	classes := map[string]*class{}
	for _, c := range e.Classes {
		next := &class{Class: c}
		if was := d.classes[c.Name]; was != nil {
			next.meanTransferTime, next.sizedAnswers = was.meanTransferTime, was.sizedAnswers
		}
		classes[c.Name] = next
	}
	d.classes, d.set.MaxAttempts = classes, e.MaxAttempts
}

// classOf finds the class of a request, with the rules by which it came; nil: there is none of that name.
func (d *Director) classOf(q Request) *class {
	c := d.classes[q.Class]
	if q.AdmittedClass == nil {
		return c
	}
	former := &class{Class: *q.AdmittedClass}
	if c != nil {
		former.meanTransferTime, former.sizedAnswers = c.meanTransferTime, c.sizedAnswers
	}
	return former
}

// CheckClasses names the first class that cannot be worked with.
func CheckClasses(classes []Class) error {
	if len(classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("settings: Classes[%d] has no name", i)
		case seen[c.Name]:
			return fmt.Errorf("settings: Classes[%d]: %q stands twice", i, c.Name)
		}
		seen[c.Name] = true
	}
	return nil
}
