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

// The span of a call records the object, the attempts and the ending.
func TestSpansRecordCalls(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracer := trace.NewTracerProvider(trace.WithSpanProcessor(spans)).Tracer("test")
	c, err := New(Config{Gateways: []string{startAnsweringGateway(t)}, Classes: []Class{{Name: "images"}}, Tracer: tracer})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Do(context.Background(), Request{Class: "images", Object: testObject}); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Do(context.Background(), Request{Class: "images", Object: testObject}); err == nil {
		t.Fatal("Do on a closed client succeeded, want an error")
	}
	ended := spans.Ended()
	if len(ended) != 2 {
		t.Fatalf("%d spans ended, want 2", len(ended))
	}
	for i, want := range []struct {
		ending string
		tries  int
	}{{"served", 1}, {"closed", 0}} {
		got := map[string]string{}
		for _, a := range ended[i].Attributes() {
			got[string(a.Key)] = a.Value.String()
		}
		if got["larchusher.ending"] != want.ending || got["larchusher.object"] != testObject || len(ended[i].Events()) != want.tries {
			t.Errorf("span %d: attributes %v, %d events for attempts", i, got, len(ended[i].Events()))
		}
	}
}

// collectMetrics returns the values of the instruments, by instrument name and ending or decision; of a histogram, the count.
func collectMetrics(t *testing.T, reader *metric.ManualReader) map[string]int64 {
	t.Helper()
	var all metricdata.ResourceMetrics
	if err := reader.Collect(context.Background(), &all); err != nil {
		t.Fatal(err)
	}
	got := map[string]int64{}
	for _, s := range all.ScopeMetrics {
		for _, m := range s.Metrics {
			addDataPoints(got, m)
		}
	}
	return got
}

func addDataPoints(got map[string]int64, m metricdata.Metrics) {
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

// Instruments record calls by ending, and decisions by name. The counters of a closed client are no longer collected.
func TestInstrumentsRecordCallsAndDecisions(t *testing.T) {
	reader := metric.NewManualReader()
	c, err := New(Config{Gateways: []string{startAnsweringGateway(t)}, Classes: []Class{{Name: "images"}},
		Meter: metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := c.Do(context.Background(), Request{Class: "images", Object: testObject}); err != nil {
			t.Fatal(err)
		}
	}
	expired, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if _, err := c.Do(expired, Request{Class: "images", Object: testObject}); err == nil {
		t.Fatal("Do succeeded with a deadline that has passed, want an error")
	}
	got := collectMetrics(t, reader)
	for name, want := range map[string]int64{MetricDuration + " served": 3, MetricDuration + " unsent": 1, MetricTries + " served": 3,
		MetricDecisions + " tries": 3, MetricDecisions + " calls": 4, MetricDecisions + " connects": 1, MetricAlive: 1} {
		if got[name] != want {
			t.Errorf("%s: got %d, want %d", name, got[name], want)
		}
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if n, ok := collectMetrics(t, reader)[MetricAlive]; ok {
		t.Errorf("gauge of gateways is still collected from a closed client: %d", n)
	}
}
