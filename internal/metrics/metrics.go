// Package metrics words the program's counters for Prometheus, StatsD and the log. Each package keeps its own counters; a
// Source collects the present values of all.
package metrics

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Kind is what a value does over time.
type Kind int

// The kinds of a value.
const (
	Counter Kind = iota // only rises
	Gauge               // rises and falls
	Summary             // a summary of what was seen since the start, in seconds
)

// Value is one value with its name and labels.
type Value struct {
	Name      string // without the program's prefix
	Help      string
	Kind      Kind
	Labels    []Label
	Value     float64
	Count     uint64              // of a summary,
	Sum       float64             // its sum,
	Quantiles map[float64]float64 // and its values, by quantile from 0 to 1
}

// Label is one label of a value.
type Label struct{ Name, Value string }

// Source returns all present values.
type Source func() []Value

const prefix = "larchusher_"

// Describe sends nothing: which values there are depends on what has happened.
func (s Source) Describe(chan<- *prometheus.Desc) {}

// Collect hands the values to Prometheus's library.
func (s Source) Collect(out chan<- prometheus.Metric) {
	for _, v := range s() {
		var names, values []string
		for _, l := range v.Labels {
			names, values = append(names, l.Name), append(values, l.Value)
		}
		d := prometheus.NewDesc(prefix+v.Name, v.Help, names, nil)
		switch v.Kind {
		case Summary:
			out <- prometheus.MustNewConstSummary(d, v.Count, v.Sum, v.Quantiles, values...)
		case Gauge:
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v.Value, values...)
		default:
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v.Value, values...)
		}
	}
}

// Text words all values in Prometheus's text format.
func (s Source) Text() ([]byte, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(s); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	families, err := registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return b.Bytes(), nil
}

// Fields are the values by names for the log: labels' values follow the name. A summary gives its quantiles in
// microseconds.
func (s Source) Fields() map[string]any {
	all := map[string]any{}
	for _, v := range s() {
		name := v.Name
		for _, l := range v.Labels {
			name += "_" + strings.ReplaceAll(l.Value, " ", "_")
		}
		switch {
		case v.Kind == Summary:
			for q, x := range v.Quantiles {
				all[strings.TrimSuffix(name, "_seconds")+"_us_p"+strings.ReplaceAll(fmt.Sprint(q*100), ".", "")] = int64(x * 1e6)
			}
		case v.Value == float64(int64(v.Value)):
			all[name] = int64(v.Value)
		default:
			all[name] = v.Value
		}
	}
	return all
}
