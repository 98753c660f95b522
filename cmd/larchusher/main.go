// Command larchusher is the gateway daemon, with sub-commands for operators. main.go defines the command line; serve.go and
// start.go run the daemon.
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

// cli defines the command line: the sub-commands, their arguments and flags.
type cli struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Serve until SIGTERM. This is what a bare start does."`
	Sign  signCommand  `cmd:"" help:"Sign a path and query with a key of the signed front, and print it."`
	Check checkCommand `cmd:"" help:"Check the configuration and the operator's file, and end with status 1 if one is at fault."`
	State stateCommand `cmd:"" help:"Look at what a gateway has kept of what it learned."`
	Work  workCommand  `cmd:"" help:"Ask for work on machines, and see in which order the gateways settle it."`
	Get   getCommand   `cmd:"" passthrough:"" help:"Read an object from gateways, as a client (runs larchusher-lab get)."`
	Ping  pingCommand  `cmd:"" passthrough:"" help:"Ask gateways for a part and say how it ended (runs larchusher-lab ping)."`
	Lab   labCommand   `cmd:"" passthrough:"" help:"Experiments on loopback: stand-ins, load, plots (runs larchusher-lab)."`
}

func main() {
	log := logrus.New() // logrus writes to standard error by default
	parser := kong.Must(&cli{}, kong.Name("larchusher"), kong.Description("The gateway before asset caches."))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(explainUsageError(parser.Model.Node, os.Args[1:], err))
	if err := ctx.Run(log); err != nil {
		log.WithError(err).Error(logfields.CommandFailed)
		os.Exit(1)
	}
}

// explainUsageError adds to a usage error that the first argument is not a sub-command, if that is the case. serve is the
// default sub-command, so the parser takes an unknown word for an argument of serve, and its error does not mention sub-commands.
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
	return fmt.Errorf("%q is no sub-command, want one of %s: %w", args[0], strings.Join(names, ", "), err)
}

// operatorFile is the flag of all sub-commands that read the operator's file.
type operatorFile struct {
	Operator string `help:"The operator's own file, such as deploy/operator.textproto." env:"BALANCER_OPERATOR" placeholder:"FILE"`
}

// signCommand is the sub-command sign.
type signCommand struct {
	operatorFile
	Target  string        `arg:"" help:"Path and query to be signed."`
	Key     string        `help:"Id of the key." required:""`
	For     time.Duration `help:"How long the token is good." default:"5m"`
	Pattern string        `help:"What else the token is good for."`
	Renew   time.Duration `help:"Answers carry a fresh token that is good for so long."`
}

// Run prints a signed URL.
func (s *signCommand) Run() error {
	op, err := config.LoadOperator(s.Operator, os.Getenv)
	if err != nil {
		return err
	}
	if op.SignedFront == nil {
		return errors.New("sign: the operator's file (--operator) has no part signed_front, which holds the keys")
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

// checkCommand is the sub-command check.
type checkCommand struct{ operatorFile }

// Run checks the platform's configuration and the operator's file, and returns the errors of both. Without BALANCER_CONFIG the
// platform's configuration is not checked if an operator's file is given.
func (c *checkCommand) Run() error {
	op, operatorErr := config.LoadOperator(c.Operator, os.Getenv)
	var cfg *config.Gateway
	var configErr error
	if os.Getenv("BALANCER_CONFIG") != "" || c.Operator == "" {
		cfg, configErr = config.Load(os.Getenv)
	}
	if err := errors.Join(configErr, operatorErr); err != nil {
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

// forwardedArguments are command-line arguments that are forwarded to larchusher-lab.
type forwardedArguments struct {
	Args []string `arg:"" optional:""`
}

// The sub-commands that run larchusher-lab.
type (
	labCommand  struct{ forwardedArguments }
	getCommand  struct{ forwardedArguments }
	pingCommand struct{ forwardedArguments }
)

// Run replaces this process by larchusher-lab.
func (l *labCommand) Run() error { return execLab(l.Args) }

// Run replaces this process by the client larchusher-lab get.
func (g *getCommand) Run() error { return execLab(append([]string{"get"}, g.Args...)) }

// Run replaces this process by the client larchusher-lab ping.
func (p *pingCommand) Run() error { return execLab(append([]string{"ping"}, p.Args...)) }

// execLab replaces this process by larchusher-lab, a program in the same folder. It returns only if that fails. The lab is a
// separate program so that its dependencies do not use memory in the gateway.
func execLab(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), "larchusher-lab")
	if err := syscall.Exec(path, append([]string{"larchusher lab"}, args...), os.Environ()); err != nil {
		return fmt.Errorf("lab: %s not started: %w", path, err)
	}
	return nil
}
