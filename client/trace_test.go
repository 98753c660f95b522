package client

import (
	"context"
	"testing"
	"time"

	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// A span tells of a call: what it asked for, its tries, and how it ended.
func TestSpans(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := trace.NewTracerProvider(trace.WithSpanProcessor(spans)).Tracer("test")
	c, err := New(Config{Gateways: []string{answering(t)}, Classes: []Class{{Name: "images"}}, Tracer: tracer})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Do(context.Background(), Request{Class: "images", Object: benchObject}); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Do(context.Background(), Request{Class: "images", Object: benchObject}); err == nil {
		t.Fatal("a closed client serves")
	}
	ended := spans.Ended()
	if len(ended) != 2 {
		t.Fatalf("%d spans", len(ended))
	}
	for i, want := range []struct {
		ending string
		tries  int
	}{{"served", 1}, {"closed", 0}} {
		got := map[string]string{}
		for _, a := range ended[i].Attributes() {
			got[string(a.Key)] = a.Value.String()
		}
		if got["larchusher.ending"] != want.ending || got["larchusher.object"] != benchObject || len(ended[i].Events()) != want.tries {
			t.Errorf("span %d: %v, %d tries", i, got, len(ended[i].Events()))
		}
	}
}

// figures are what the instruments tell, by name and ending or decision.
func figures(t *testing.T, reader *metric.ManualReader) map[string]int64 {
	t.Helper()
	var all metricdata.ResourceMetrics
	if err := reader.Collect(context.Background(), &all); err != nil {
		t.Fatal(err)
	}
	got := map[string]int64{}
	for _, s := range all.ScopeMetrics {
		for _, m := range s.Metrics {
			add(got, m)
		}
	}
	return got
}

func add(got map[string]int64, m metricdata.Metrics) {
	switch d := m.Data.(type) {
	case metricdata.Histogram[float64]:
		for _, p := range d.DataPoints {
			ending, _ := p.Attributes.Value("ending")
			got[m.Name+" "+ending.AsString()] += int64(p.Count)
		}
	case metricdata.Sum[int64]:
		for _, p := range d.DataPoints {
			name, _ := p.Attributes.Value("decision")
			got[m.Name+" "+name.AsString()] = p.Value
		}
	case metricdata.Gauge[int64]:
		got[m.Name] = d.DataPoints[0].Value
	}
}

// Instruments tell of calls by class and ending, and of decisions; those of a closed client are read no more.
func TestMeters(t *testing.T) {
	reader := metric.NewManualReader()
	c, err := New(Config{Gateways: []string{answering(t)}, Classes: []Class{{Name: "images"}},
		Meter: metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := c.Do(context.Background(), Request{Class: "images", Object: benchObject}); err != nil {
			t.Fatal(err)
		}
	}
	gone, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if _, err := c.Do(gone, Request{Class: "images", Object: benchObject}); err == nil {
		t.Fatal("a call without time is served")
	}
	got := figures(t, reader)
	for name, want := range map[string]int64{MetricDuration + " served": 3, MetricDuration + " unsent": 1, MetricTries + " served": 3,
		MetricDecisions + " tries": 3, MetricDecisions + " calls": 4, MetricDecisions + " connects": 1, MetricAlive: 1} {
		if got[name] != want {
			t.Errorf("%s: %d, not %d", name, got[name], want)
		}
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if n, ok := figures(t, reader)[MetricAlive]; ok {
		t.Errorf("a closed client has %d gateways", n)
	}
}
