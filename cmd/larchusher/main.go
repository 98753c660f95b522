// Command larchusher is the gateway on real sockets. main.go reads the command line, serve.go and start.go run the daemon.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"larchusher/internal/config"
	"larchusher/internal/logfields"
	"larchusher/signedurl"
)

// cli is the command line.
type cli struct {
	Serve serve       `cmd:"" default:"withargs" help:"Serve until SIGTERM. This is what a bare start does."`
	Sign  sign        `cmd:"" help:"Sign a path and query with a key of the signed front, and print it."`
	Check check       `cmd:"" help:"Check the configuration and the operator's file, and end with status 1 if one is at fault."`
	State state       `cmd:"" help:"Look at what a gateway has kept of what it learned."`
	Work  workCommand `cmd:"" help:"Ask for work on machines, and see in which order the gateways settle it."`
	Get   get         `cmd:"" passthrough:"" help:"Read an object from gateways, as a client (runs larchusher-lab get)."`
	Ping  ping        `cmd:"" passthrough:"" help:"Ask gateways for a part and say how it ended (runs larchusher-lab ping)."`
	Lab   lab         `cmd:"" passthrough:"" help:"Experiments on loopback: stand-ins, load, plots (runs larchusher-lab)."`
}

func main() {
	log := logrus.New() // to standard error
	parser := kong.Must(&cli{}, kong.Name("larchusher"), kong.Description("The gateway before asset caches."))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(explainUsageError(parser.Model.Node, os.Args[1:], err))
	if err := ctx.Run(log); err != nil {
		log.WithError(err).Error(logfields.CommandFailed)
		os.Exit(1)
	}
}

// explainUsageError says of an error that the first argument is no sub-command, where that is so: since a bare start serves,
// the error itself is about an argument of serve.
func explainUsageError(commands *kong.Node, args []string, err error) error {
	if err == nil || len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return err
	}
	var names []string
	for _, c := range commands.Children {
		names = append(names, c.Name)
	}
	if slices.Contains(names, args[0]) {
		return err
	}
	return fmt.Errorf("%q is no sub-command, there are %s: %w", args[0], strings.Join(names, ", "), err)
}

// operatorFile is the flag that all sub-commands share which read the operator's file.
type operatorFile struct {
	Operator string `help:"The operator's own file, such as deploy/operator.textproto." env:"BALANCER_OPERATOR" placeholder:"FILE"`
}

type sign struct {
	operatorFile
	Target  string        `arg:"" help:"Path and query to be signed."`
	Key     string        `help:"Id of the key." required:""`
	For     time.Duration `help:"How long the token is good." default:"5m"`
	Pattern string        `help:"What else the token is good for."`
	Renew   time.Duration `help:"Answers carry a fresh token that is good for so long."`
}

// Run signs.
func (s *sign) Run() error {
	op, err := config.LoadOperator(s.Operator, os.Getenv)
	if err != nil {
		return err
	}
	if op.SignedFront == nil {
		return errors.New("sign: the operator's file (--operator) has no signed_front")
	}
	issuer, err := signedurl.NewIssuer(op.SignedFront.URLs, s.Key)
	if err != nil {
		return fmt.Errorf("--key: %w", err)
	}
	uri, err := issuer.Sign(signedurl.Order{Target: s.Target, Pattern: s.Pattern, Renew: s.Renew, Expiry: time.Now().Add(s.For)})
	if err == nil {
		_, err = fmt.Println(uri)
	}
	return err
}

type check struct{ operatorFile }

// Run checks the files.
func (c *check) Run() error {
	op, errOp := config.LoadOperator(c.Operator, os.Getenv)
	var cfg *config.Gateway
	var errCfg error
	if os.Getenv("BALANCER_CONFIG") != "" || c.Operator == "" {
		cfg, errCfg = config.Load(os.Getenv)
	}
	if err := errors.Join(errCfg, errOp); err != nil {
		return err
	}
	if cfg != nil {
		if _, err := op.LocalitiesFor(cfg.Settings.Zone, cfg.Settings.Zones); err != nil {
			return fmt.Errorf("operator's file %s: %w", c.Operator, err)
		}
	}
	_, err := fmt.Println("all is well")
	return err
}

// passedArguments are arguments that are handed on to larchusher-lab.
type passedArguments struct {
	Args []string `arg:"" optional:""`
}

type (
	lab  struct{ passedArguments }
	get  struct{ passedArguments }
	ping struct{ passedArguments }
)

// Run becomes larchusher-lab.
func (l *lab) Run() error { return execLab(l.Args) }

// Run becomes larchusher-lab, as a client.
func (g *get) Run() error { return execLab(append([]string{"get"}, g.Args...)) }

// Run becomes larchusher-lab, as a client.
func (p *ping) Run() error { return execLab(append([]string{"ping"}, p.Args...)) }

// execLab runs larchusher-lab, which stands beside this program, in place of it. It is a program of its own so that what it
// needs takes none of the gateway's memory.
func execLab(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), "larchusher-lab")
	if err := syscall.Exec(path, append([]string{"larchusher lab"}, args...), os.Environ()); err != nil {
		return fmt.Errorf("lab: %s: %w", path, err)
	}
	return nil
}
