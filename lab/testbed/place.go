package testbed

import (
	"context"
	"encoding/json"

	"larchusher/lab/fakeserver"
)

// StartIn starts a program among stores that are somebody else's: it has a journal service of its own, and settings and a
// list as they are given. Stop leaves the stores alone.
func StartWithStores(ctx context.Context, cfg Config, settings, endpointList json.RawMessage) (*Gateway, error) {
	w := &Gateway{Stores: map[string]*fakeserver.Store{}, Process: NewProcess(cfg.Program, cfg.Args, nil)}
	if err := w.launch(ctx, cfg, settings, endpointList); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}
