package testbed

import (
	"context"
	"encoding/json"

	"larchusher/lab/fakeserver"
)

// StartWithStores starts a gateway that uses stores owned by the caller. The gateway gets a journal service of its
// own and the given settings and endpoint list. It returns once the gateway serves. Stop does not close the stores.
func StartWithStores(ctx context.Context, cfg Config, settings, endpointList json.RawMessage) (*Gateway, error) {
	w := &Gateway{Stores: map[string]*fakeserver.Store{}, Process: NewProcess(cfg.Program, cfg.Args, nil)}
	if err := w.launch(ctx, cfg, settings, endpointList); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}
