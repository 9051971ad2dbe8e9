package gatewayd

import (
	"testing"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// The metrics show in which availability zones upstreams are listed and take load, and how
// old the proof of the configuration is.
func TestZoneMetrics(t *testing.T) {
	is := is.New(t)
	m := newServerMetrics(nil, func() uint64 { return 1234 })
	saysLeaving := func(id string) bool { return id == "e" }
	m.list([]balance.Instance{{ID: "a", Zone: "x"}, {ID: "b", Zone: "x", Leaving: true}, {ID: "c", Zone: "y"}}, saysLeaving)
	m.list([]balance.Instance{{ID: "a", Zone: "x"}, {ID: "d", Zone: "x"}, {ID: "e", Zone: "x"}, {ID: "c", Zone: "y", Leaving: true}}, saysLeaving)
	m.attempt(balance.Choice{Instance: balance.Instance{ID: "d", Zone: "x"}}, balance.Completed)
	m.attempt(balance.Choice{Instance: balance.Instance{ID: "d", Zone: "x"}}, balance.Completed)
	m.attempt(balance.Choice{Instance: balance.Instance{ID: "c", Zone: "y"}}, balance.Dead)
	tests := []struct {
		name   string
		labels map[string]string
		want   float64
	}{
		{"gladegauge_gateway_zone_upstreams", map[string]string{"zone": "x", "state": "ready"}, 2},
		{"gladegauge_gateway_zone_upstreams", map[string]string{"zone": "x", "state": "leaving"}, 0},
		{"gladegauge_gateway_zone_upstreams", map[string]string{"zone": "y", "state": "leaving"}, 1},
		{"gladegauge_gateway_zone_upstreams", map[string]string{"zone": "x", "state": "says_leaving"}, 1},
		{"gladegauge_gateway_zone_attempts_total", map[string]string{"zone": "x", "outcome": "completed"}, 2},
		{"gladegauge_gateway_zone_attempts_total", map[string]string{"zone": "y", "outcome": "dead"}, 1},
		{"gladegauge_gateway_view_age_milliseconds", nil, 1234},
	}
	families, err := m.registry.Gather()
	is.NoErr(err)
	for _, tt := range tests {
		is.Equal(valueOf(families, tt.name, tt.labels), tt.want)
	}
}

// valueOf returns the value of a metric; 0 if there is none.
func valueOf(families []*dto.MetricFamily, name string, labels map[string]string) float64 {
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name && hasLabels(m, labels) {
				return m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return 0
}

func hasLabels(m *dto.Metric, labels map[string]string) bool {
	for _, l := range m.GetLabel() {
		if labels[l.GetName()] != l.GetValue() {
			return false
		}
	}
	return len(m.GetLabel()) == len(labels)
}
