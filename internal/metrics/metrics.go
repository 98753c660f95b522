// Package metrics formats the program's metrics for Prometheus, StatsD and the log. Each package keeps its own counters; a
// [Source] returns the present values of all of them.
package metrics

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Kind is the type of a metric.
type Kind int

// Types of metrics.
const (
	Counter Kind = iota // a total since the start, which only increases
	Gauge               // a present value, which may increase and decrease
	Summary             // the distribution of durations since the start, in seconds
)

// Value is the present value of one metric, with its name and labels.
type Value struct {
	Name      string // without the prefix larchusher_
	Help      string
	Kind      Kind
	Labels    []Label
	Value     float64
	Count     uint64              // number of observations of a summary
	Sum       float64             // sum of a summary's observations, in seconds
	Quantiles map[float64]float64 // values of a summary in seconds, by quantile from 0 to 1
}

// Label is a label of a metric.
type Label struct{ Name, Value string }

// Source returns the present values of all metrics. It implements prometheus.Collector, whose methods call it on the caller's
// goroutine.
type Source func() []Value

const prefix = "larchusher_"

// Describe implements prometheus.Collector. It sends nothing, which makes the collector unchecked: the set of metrics changes while
// the program runs.
func (s Source) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector: it sends the present values.
func (s Source) Collect(metricChan chan<- prometheus.Metric) {
	for _, v := range s() {
		var names, values []string
		for _, l := range v.Labels {
			names, values = append(names, l.Name), append(values, l.Value)
		}
		d := prometheus.NewDesc(prefix+v.Name, v.Help, names, nil)
		switch v.Kind {
		case Summary:
			metricChan <- prometheus.MustNewConstSummary(d, v.Count, v.Sum, v.Quantiles, values...)
		case Gauge:
			metricChan <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v.Value, values...)
		default:
			metricChan <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v.Value, values...)
		}
	}
}

// Text returns the present values in Prometheus's text format. It fails if they are inconsistent, for instance if two have the same
// name and labels.
func (s Source) Text() ([]byte, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(s); err != nil {
		return nil, fmt.Errorf("metrics: collector not registered: %w", err)
	}
	families, err := registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: values not gathered: %w", err)
	}
	var b bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&b, f); err != nil {
			return nil, fmt.Errorf("metrics: text not written: %w", err)
		}
	}
	return b.Bytes(), nil
}

// Fields returns the present values as fields for the log. A field's name is the metric's name and the values of its labels, joined
// by underscores. Each quantile of a summary has a field of its own, NAME_us_pPERCENT, in microseconds.
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
