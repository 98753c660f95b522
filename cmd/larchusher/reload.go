package main

import (
	"os"
	"strings"

	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/httpapi"
	"larchusher/internal/logfields"
	"larchusher/routing"
	"larchusher/signedurl"
)

// reload loads both configuration files and posts them to the loop to be applied. It runs on the signal goroutine, because the
// loop must not block on file reads.
func (p *program) reload() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		p.loop.Post(func() { p.rejectReload(err) })
		return
	}
	op, err := config.LoadOperator(p.operatorPath, os.Getenv)
	if err != nil {
		p.loop.Post(func() { p.rejectReload(err) })
		return
	}
	p.loop.Post(func() {
		if err := p.applyReload(cfg, op); err != nil {
			p.rejectReload(err)
		}
	})
}

// rejectReload counts and logs a reload that was not applied because of an error in the files.
func (p *program) rejectReload(err error) {
	p.rejectedReloads++
	p.log.WithError(err).Error(logfields.ReloadRejected)
}

// applyReload applies what may change while the program runs: the journal's address, the classes, the limit on attempts, the
// keys of the signed front and the limits of localities. Open requests and connections are not affected. Both files are checked
// before any part is applied, so an error leaves everything unchanged.
func (p *program) applyReload(cfg *config.Gateway, op *config.Operator) error {
	if err := p.cfg.CheckReload(cfg); err != nil {
		return err
	}
	if op.SignedFront != nil {
		if _, err := newSignedAPI(op.SignedFront, cfg.Settings); err != nil {
			return err
		}
	}
	localities, err := op.LocalitiesFor(p.cfg.Settings.Zone, p.cfg.Settings.Zones)
	if err != nil {
		return err
	}
	if p.operator.Localities == nil || !p.operator.SameRestartSettings(op) { // changes of the localities wait for the next start
		localities = nil
	}
	change := gateway.Reconfiguration{Classes: cfg.Settings.Classes, MaxAttempts: cfg.Settings.MaxAttempts, Localities: localities}
	if err := p.gateway.Reconfigure(change); err != nil {
		return err
	}
	p.reloads++
	p.warnRestartKeys(cfg, op)
	p.cfg.Settings.Classes, p.cfg.Settings.MaxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	p.platformFront.SetClasses(classNames(p.gateway.Classes()))
	p.pool.SetAnswerTimeout(p.longestDeadline())
	p.discovery.SetAddress(cfg.Journal)
	p.reloadSignedFront(op.SignedFront)
	if p.cluster != nil {
		p.cluster.ReconfigureClasses(cfg.Settings.Classes)
	}
	p.log.Info(logfields.Reloaded)
	return nil
}

// warnRestartKeys logs the keys whose changed values take effect only at the next start.
func (p *program) warnRestartKeys(cfg *config.Gateway, op *config.Operator) {
	keys := p.cfg.ChangedRestartKeys(cfg)
	if !p.operator.SameRestartSettings(op) {
		keys = append(keys, "listeners, overload, localities, state or fleet of the operator's file")
	}
	if len(keys) > 0 {
		p.log.WithField(logfields.Keys, strings.Join(keys, " ")).Warn(logfields.ReloadNeedsRestart)
	}
}

// reloadSignedFront applies a newer configuration of the signed front; nil: the file no longer has one. A front that was removed
// is closed and does not come back before a restart, since its keys may belong to a customer who is no longer served here.
func (p *program) reloadSignedFront(signed *config.SignedFront) {
	switch {
	case p.signedFront == nil:
	case signed == nil && !p.signedFrontClosed:
		p.signedFrontClosed = true
		p.signedListener.Close()
		p.signedFront.Retire()
		p.log.Warn(logfields.ReloadSignedFrontClosed)
	case signed != nil && p.signedFrontClosed:
		p.log.WithField(logfields.Keys, "signed_front").Warn(logfields.ReloadNeedsRestart)
	case signed != nil:
		settings := p.cfg.Settings
		settings.Classes = p.gateway.Classes()
		api, err := newSignedAPI(signed, settings)
		if err != nil { // unexpected: applyReload has checked the same configuration
			p.log.WithError(err).Error(logfields.ReloadSignedFailed)
			return
		}
		p.signedFront.SetAPI(api)
	}
}

// newSignedAPI returns the HTTP API of the signed front, which verifies tokens with the configured keys and renews them if the
// configuration names a key for that.
func newSignedAPI(s *config.SignedFront, settings routing.Settings) (*httpapi.API, error) {
	verifier, err := signedurl.NewVerifier(s.URLs)
	if err != nil {
		return nil, err
	}
	var issuer *signedurl.Issuer
	if s.RenewWith != "" {
		if issuer, err = signedurl.NewIssuer(s.URLs, s.RenewWith); err != nil {
			return nil, err
		}
	}
	return httpapi.New(settings, verifier, issuer), nil
}

// classNames returns the names of classes, in their order.
func classNames(classes []routing.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}
