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

// reload reads the files again and has the loop take them over. It runs beside the loop, which must not wait for files.
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

// rejectReload notes a reload whose files are at fault.
func (p *program) rejectReload(err error) {
	p.rejectedReloads++
	p.log.WithError(err).Error(logfields.ReloadRejected)
}

// applyReload takes over what may change while the program runs: the journal's address, the classes, the limit on attempts, the
// signed front's keys and the bounds of localities. Requests and connections stay as they are. Both files are checked before
// anything is used: if one is at fault, all stays as it was.
func (p *program) applyReload(cfg *config.Gateway, op *config.Operator) error {
	if err := p.cfg.CheckReload(cfg); err != nil {
		return err
	}
	if op.SignedFront != nil {
		if _, err := newSignedAPI(op.SignedFront, cfg.Settings); err != nil {
			return err
		}
	}
	tiers, err := op.LocalitiesFor(p.cfg.Settings.Zone, p.cfg.Settings.Zones)
	if err != nil {
		return err
	}
	if p.operator.Localities == nil || !p.operator.SameRestartSettings(op) { // they take effect with the next start
		tiers = nil
	}
	change := gateway.Reconfiguration{Classes: cfg.Settings.Classes, MaxAttempts: cfg.Settings.MaxAttempts, Localities: tiers}
	if err := p.gateway.Reconfigure(change); err != nil {
		return err
	}
	p.reloads++
	p.warnRestartKeys(cfg, op)
	p.cfg.Settings.Classes, p.cfg.Settings.MaxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	p.front.SetClasses(classNames(p.gateway.Classes()))
	p.pool.SetAnswerTimeout(p.longestDeadline())
	p.discovery.SetAddress(cfg.Journal)
	p.reloadSignedFront(op.SignedFront)
	if p.cluster != nil {
		p.cluster.ReconfigureClasses(cfg.Settings.Classes)
	}
	p.log.Info(logfields.Reloaded)
	return nil
}

// warnRestartKeys names what differs and takes effect with the next start only.
func (p *program) warnRestartKeys(cfg *config.Gateway, op *config.Operator) {
	keys := p.cfg.ChangedRestartKeys(cfg)
	if !p.operator.SameRestartSettings(op) {
		keys = append(keys, "listeners, overload and localities of the operator's file")
	}
	if len(keys) > 0 {
		p.log.WithField(logfields.Keys, strings.Join(keys, " ")).Warn(logfields.ReloadNeedsRestart)
	}
}

// reloadSignedFront has the signed front go by what a newer file says. One that the file has no more ends, for good: its keys may be
// somebody's who is not served here any longer.
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
		if err != nil { // it was checked a moment ago
			p.log.WithError(err).Error(logfields.ReloadSignedFailed)
			return
		}
		p.signedFront.SetAPI(api)
	}
}

// newSignedAPI has the keys of the signed front's file.
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

// classNames are the names of classes.
func classNames(classes []routing.Class) (names []string) {
	for _, c := range classes {
		names = append(names, c.Name)
	}
	return names
}
