package resp

import (
	"testing"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/routing"
)

// results is a gateway that records how attempts ended.
type results struct{ all []routing.Status }

func (r *results) PrepareWrite(*gateway.Attempt) bool { return true }
func (r *results) AttemptEnded(_ *gateway.Attempt, result gateway.Result) {
	r.all = append(r.all, result.Status)
}

// Guards against work for an endpoint that is gone which reaches the process that has its address now: of two endpoints with
// one address, only the one that started last, or was listed last, may be connected to.
func TestFormerEndpointAtAddressGetsNothing(t *testing.T) {
	const addr = "127.0.0.1:1"
	for name, list := range map[string]func(*Pool){
		"listed later":                  func(p *Pool) { p.SetAddress("old", addr, 0); p.SetAddress("new", addr, 0) },
		"started later":                 func(p *Pool) { p.SetAddress("old", addr, 5); p.SetAddress("new", addr, 9) },
		"started later, listed earlier": func(p *Pool) { p.SetAddress("new", addr, 9); p.SetAddress("old", addr, 5) },
		"listed again as it was": func(p *Pool) {
			p.SetAddress("old", addr, 0)
			p.SetAddress("new", addr, 0)
			p.SetAddress("old", addr, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ended := &results{}
			p := New(Config{MaxConns: 10, StreamsPerConn: 4}, gateway.NewLoop(), nil, logrus.New())
			p.Gateway = ended
			list(p)
			p.Send(&gateway.Attempt{Endpoint: "old", Request: &gateway.Request{ID: "1"}})
			if len(ended.all) != 1 || ended.all[0] != routing.ConnectFailed {
				t.Errorf("attempt at the former endpoint: results %v, want ConnectFailed at once", ended.all)
			}
			if p.endpoints["new"].superseded {
				t.Error("the endpoint that has the address counts as superseded")
			}
		})
	}
}

// An endpoint that is gone gives its address back, and one that starts anew may have it.
func TestAddressIsGivenBack(t *testing.T) {
	const addr = "127.0.0.1:1"
	p := New(Config{}, gateway.NewLoop(), nil, logrus.New())
	p.SetAddress("first", addr, 0)
	p.SetAddress("second", addr, 0)
	p.SetAddress("first", addr, 7)
	if p.endpoints["first"].superseded || !p.endpoints["second"].superseded {
		t.Error("an endpoint that has started anew does not have its address")
	}
	p.RemoveEndpoint("first")
	p.SetAddress("third", addr, 0)
	if p.endpoints["third"].superseded || p.endpoints["first"] != nil {
		t.Error("the address of a removed endpoint is not free")
	}
}
