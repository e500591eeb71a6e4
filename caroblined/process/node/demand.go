package node

import (
	"github.com/rcrowley/go-metrics"

	"carobline.dev/core/process/fleet"
)

// recordDemand sets the gauges of the demand for models, and removes them once the node no longer
// leads.
func (node *Node) recordDemand(demand []fleet.ModelDemand) {
	for _, name := range node.demandGauges {
		node.metrics.Unregister(name)
	}
	node.demandGauges = node.demandGauges[:0]
	for _, known := range demand {
		prefix := "demand." + string(known.Service) + "." + string(known.Model)
		node.setGauge(prefix+".groups", float64(known.Groups))
		node.setGauge(prefix+".target_groups", known.TargetGroups)
		node.setGauge(prefix+".busy_groups", known.BusyGroups)
	}
}

func (node *Node) setGauge(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name, node.metrics).Update(value)
	node.demandGauges = append(node.demandGauges, name)
}
