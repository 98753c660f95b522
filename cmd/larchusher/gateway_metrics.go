package main

import (
	"larchusher/gateway"
	"larchusher/internal/metrics"
)

// gatewayMetrics are what the gateway counts of load and of localities, as metrics.
func gatewayMetrics(gw *gateway.Gateway) []metrics.Value {
	return append(gw.LoadValues(), gw.LocalityValues()...)
}
