package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/metrics"
	"larchusher/locality"
	"larchusher/routing"
)

// Operators scrape metrics by name, so names, kinds, labels and order must not change when the fields behind them are renamed.
func TestGatewayMetricsKeepTheirNamesAndOrder(t *testing.T) {
	loop := gateway.NewLoop()
	gw, err := gateway.New(gateway.Config{Loop: loop, Log: logrus.New(),
		Localities: &locality.Config{Localities: []locality.Locality{{Name: "here"}, {Name: "there", Level: 1}}, MaxSpillover: 1},
		Settings: routing.Settings{Zone: "here", Zones: []string{"hub", "here", "there"}, ZoneDirectors: []int{0, 1, 1}, Directors: 2,
			Kinds: []string{"box", "origin"}, ParentKind: -1, OriginKind: 1, ClockStep: time.Millisecond, MaxAttempts: 8,
			Classes: []routing.Class{{Name: "page", LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, name := range slices.Sorted(maps.Keys(gw.Counters.ByName())) {
		got = append(got, "core "+name)
	}
	for _, v := range gatewayMetrics(gw) {
		got = append(got, describeMetric(v))
	}
	want := readLines(t, "testdata/gateway-metrics.txt")
	if !slices.Equal(got, want) {
		t.Errorf("the gateway's metrics are\n%s\n\nwant those of testdata/gateway-metrics.txt\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// describeMetric returns one line with the kind, name, labels and help of a metric, and a summary's quantiles, without its value.
func describeMetric(v metrics.Value) string {
	kind := [...]string{metrics.Counter: "counter", metrics.Gauge: "gauge", metrics.Summary: "summary"}[v.Kind]
	var labels []string
	for _, l := range v.Labels {
		labels = append(labels, l.Name+"="+l.Value)
	}
	text := fmt.Sprintf("%s %s{%s} %s", kind, v.Name, strings.Join(labels, ","), v.Help)
	if v.Kind == metrics.Summary {
		text += fmt.Sprint(" ", slices.Sorted(maps.Keys(v.Quantiles)))
	}
	return text
}

func readLines(t *testing.T, path string) (lines []string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // the file was only read
	s := bufio.NewScanner(f)
	for s.Scan() {
		lines = append(lines, s.Text())
	}
	if s.Err() != nil {
		t.Fatal(s.Err())
	}
	return lines
}
