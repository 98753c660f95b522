package main

import (
	"errors"
	"os"
	"strings"

	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/httpapi"
	"larchusher/internal/logfields"
	"larchusher/locality"
	"larchusher/routing"
	"larchusher/signedurl"
)

// reloadedFiles are the two configuration files as a reload has read them, each with the error for which nothing of it is applied.
// The files are independent: a fault in one does not keep the other from being applied.
type reloadedFiles struct {
	platform    *config.Gateway
	platformErr error
	operator    *config.Operator
	operatorErr error
	localities  *locality.Config // new limits of the localities, from the operator's file; nil: unchanged
}

// reload loads both configuration files and posts them to the loop to be applied. It runs on the signal goroutine, because the
// loop must not block on file reads.
func (p *program) reload() {
	f := &reloadedFiles{}
	f.platform, f.platformErr = config.Load(os.Getenv)
	f.operator, f.operatorErr = config.LoadOperator(p.operatorPath, os.Getenv)
	p.loop.Post(func() { p.applyReload(f) })
}

// applyReload applies what may change while the program runs: the journal's address, the classes, the limit on attempts, the
// keys of the signed front and the limits of localities. Open requests and connections are not affected. A file is checked
// before any part of it is applied, so that a faulty one changes nothing.
func (p *program) applyReload(f *reloadedFiles) {
	p.checkReload(f)
	p.reconfigureGateway(f)
	p.warnRestartKeys(f)
	if f.platformErr == nil {
		p.applyPlatformFile(f.platform)
	}
	signed := p.signedConfig
	if f.operatorErr == nil {
		signed = f.operator.SignedFront
	}
	p.reloadSignedFront(signed)
	p.reportReload(f)
}

// checkReload checks the files that could be read.
func (p *program) checkReload(f *reloadedFiles) {
	if f.platformErr == nil {
		f.platformErr = p.cfg.CheckReload(f.platform)
	}
	if f.operatorErr == nil {
		f.localities, f.operatorErr = p.checkOperatorFile(f.operator)
	}
}

// checkOperatorFile returns the limits of the localities that a newer operator's file applies (nil: unchanged), or an error if
// nothing of the file may be applied.
func (p *program) checkOperatorFile(op *config.Operator) (*locality.Config, error) {
	if op.SignedFront != nil {
		if _, err := newSignedAPI(op.SignedFront, p.cfg.Settings); err != nil {
			return nil, p.operatorError(err)
		}
	}
	localities, err := op.LocalitiesFor(p.cfg.Settings.Zone, p.cfg.Settings.Zones)
	if err != nil {
		return nil, p.operatorError(err)
	}
	if localities == nil || p.operator.Localities == nil || !p.operator.SameRestartSettings(op) { // wait for the next start
		return nil, nil
	}
	if err := p.gateway.CheckLocalities(*localities); err != nil {
		return nil, p.operatorError(err)
	}
	return localities, nil
}

// reconfigureGateway applies the files to the gateway. It records an error that the checks have not found as the platform's.
func (p *program) reconfigureGateway(f *reloadedFiles) {
	switch {
	case f.platformErr == nil:
		f.platformErr = p.gateway.Reconfigure(gateway.Reconfiguration{Classes: f.platform.Settings.Classes,
			MaxAttempts: f.platform.Settings.MaxAttempts, Localities: f.localities})
	case f.localities != nil:
		f.operatorErr = p.gateway.ReconfigureLocalities(*f.localities)
	}
}

// applyPlatformFile applies the platform's configuration to all parts but the gateway.
func (p *program) applyPlatformFile(cfg *config.Gateway) {
	p.cfg.Settings.Classes, p.cfg.Settings.MaxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	p.platformFront.SetClasses(classNames(p.gateway.Classes()))
	p.pool.SetAnswerTimeout(p.longestDeadline())
	p.discovery.SetAddress(cfg.Journal)
	if p.cluster != nil {
		p.cluster.ReconfigureClasses(cfg.Settings.Classes)
	}
}

// reportReload counts and logs a reload. One of which a file was rejected counts as rejected.
func (p *program) reportReload(f *reloadedFiles) {
	if f.platformErr == nil && f.operatorErr == nil {
		p.reloads++
		p.log.Info(logfields.Reloaded)
		return
	}
	p.rejectedReloads++
	log := p.log.WithError(errors.Join(f.platformErr, f.operatorErr))
	switch {
	case f.platformErr == nil:
		log = log.WithField(logfields.Detail, "the platform's file was applied")
	case f.operatorErr == nil && p.operatorPath != "":
		log = log.WithField(logfields.Detail, "the operator's file was applied")
	}
	log.Error(logfields.ReloadRejected)
}

// warnRestartKeys logs the keys whose changed values take effect only at the next start.
func (p *program) warnRestartKeys(f *reloadedFiles) {
	var keys []string
	if f.platformErr == nil {
		keys = p.cfg.ChangedRestartKeys(f.platform)
	}
	if f.operatorErr == nil && !p.operator.SameRestartSettings(f.operator) {
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
		p.signedConfig, p.signedFrontClosed = nil, true
		p.signedListener.Close()
		p.signedFront.Retire()
		p.log.Warn(logfields.ReloadSignedFrontClosed)
	case signed != nil && p.signedFrontClosed:
		p.log.WithField(logfields.Keys, "signed_front").Warn(logfields.ReloadNeedsRestart)
	case signed != nil:
		settings := p.cfg.Settings
		settings.Classes = p.gateway.Classes()
		api, err := newSignedAPI(signed, settings)
		if err != nil { // unexpected: checkOperatorFile has checked the same configuration
			p.log.WithError(err).Error(logfields.ReloadSignedFailed)
			return
		}
		p.signedConfig = signed
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
