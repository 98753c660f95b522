package main

import (
	"os"
	"strings"

	"larchusher/internal/config"
	"larchusher/internal/httpapi"
	"larchusher/routing"
	"larchusher/signedurl"
)

// reload reads the files again and has the loop take them over. It runs beside the loop, which must not wait for files.
func (p *program) reload() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		p.loop.Post(func() { p.keepOld(err) })
		return
	}
	op, err := config.LoadOperator(p.file, os.Getenv)
	if err != nil {
		p.loop.Post(func() { p.keepOld(err) })
		return
	}
	p.loop.Post(func() {
		if err := p.takeOver(cfg, op); err != nil {
			p.keepOld(err)
		}
	})
}

// keepOld notes a reload whose files are at fault.
func (p *program) keepOld(err error) {
	p.badReloads++
	p.log.WithError(err).Error("reload: the old configuration stays")
}

// takeOver takes over what may change while the program runs: the journal's address, the classes, the limit on attempts, the
// signed front's keys and the bounds of localities. Requests and connections stay as they are. All is checked before
// anything is used: if one file is at fault, all stays as it was.
func (p *program) takeOver(cfg *config.Gateway, op *config.Operator) error {
	if err := p.cfg.CheckReload(cfg); err != nil {
		return err
	}
	if op.Signed != nil {
		if _, err := signedAPI(op.Signed, cfg.Settings); err != nil {
			return err
		}
	}
	tiers, err := op.LocalitiesFor(p.cfg.Settings.Zone, p.cfg.Settings.Zones)
	if err != nil {
		return err
	}
	if err := p.gw.ReconfigureClasses(cfg.Settings.Classes, cfg.Settings.MaxAttempts); err != nil {
		return err
	}
	p.reloads++
	p.warnFixed(cfg, op)
	p.cfg.Settings.Classes, p.cfg.Settings.MaxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	p.front.SetClasses(classNames(p.gw.Classes()))
	p.pool.SetAnswerTimeout(p.longest())
	p.feed.SetAddress(cfg.Journal)
	p.useSigned(op.Signed)
	if p.op.Localities != nil && tiers != nil && p.op.SameRestartSettings(op) {
		if err := p.gw.ReconfigureLocalities(*tiers); err != nil {
			p.log.WithError(err).Error("reload: tiers stay as they were")
		}
	}
	p.log.Info("reloaded")
	return nil
}

// warnFixed names what differs and takes effect with the next start only.
func (p *program) warnFixed(cfg *config.Gateway, op *config.Operator) {
	keys := p.cfg.ChangedRestartKeys(cfg)
	if !p.op.SameRestartSettings(op) {
		keys = append(keys, "listeners, overload and localities of the operator's file")
	}
	if len(keys) > 0 {
		p.log.WithField("keys", strings.Join(keys, " ")).Warn("reload: these keys take effect with the next start")
	}
}

// useSigned has the signed front go by what a newer file says. One that the file has no more ends, for good: its keys may be
// somebody's who is not served here any longer.
func (p *program) useSigned(signed *config.Signed) {
	switch {
	case p.signed == nil:
	case signed == nil && !p.retired:
		p.retired = true
		p.signedAt.Close()
		p.signed.Retire()
		p.log.Warn("reload: the signed front has ended")
	case signed != nil && p.retired:
		p.log.WithField("keys", "signed_front").Warn("reload: these keys take effect with the next start")
	case signed != nil:
		settings := p.cfg.Settings
		settings.Classes = p.gw.Classes()
		api, err := signedAPI(signed, settings)
		if err != nil { // it was checked a moment ago
			p.log.WithError(err).Error("reload: the signed front stays as it was")
			return
		}
		p.signed.SetAPI(api)
	}
}

// signedAPI has the keys of the signed front's file.
func signedAPI(s *config.Signed, settings routing.Settings) (*httpapi.API, error) {
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
