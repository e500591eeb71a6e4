package grouper

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// Host is one engine and the weights that it holds.
type Host struct {
	Host   id.Host
	Domain id.Domain
	// Loaded are the models that were last in the engine's memory; Staged are
	// those whose weights are on its host.
	Loaded []id.Model
	Staged []id.Model
	// StagingModel is the model whose weights are being copied to the host; it is
	// empty if none are.
	StagingModel id.Model
	// Cold is set while the engine takes few requests per second after a start.
	Cold bool
}

// HasNoWeights reports whether the engine needs a load for every model.
func (host Host) HasNoWeights() bool { return len(host.Loaded)+len(host.Staged) == 0 }

// HasWeights reports whether the engine can serve a model without a load.
func (host Host) HasWeights(model id.Model) bool {
	return slices.Contains(host.Loaded, model) || slices.Contains(host.Staged, model)
}

// hasOrAwaitsWeights reports whether the engine holds a model's weights or a load
// of them is under way.
func (host Host) hasOrAwaitsWeights(model id.Model) bool {
	return host.HasWeights(model) || host.StagingModel == model
}

// formationCost ranks hosts for a group of a model, the lowest first: a host with
// the model in memory costs the least, and one that would lose the weights of
// another model the most.
func (host Host) formationCost(model id.Model) int {
	switch {
	case slices.Contains(host.Loaded, model):
		return 0
	case host.HasWeights(model):
		return 1
	case host.StagingModel == model:
		return 2
	case host.HasNoWeights():
		return 3
	default:
		return 4
	}
}

// byFormationCost compares hosts by their formation cost for a model.
func byFormationCost(model id.Model) func(a, b Host) int {
	return func(a, b Host) int { return cmp.Compare(a.formationCost(model), b.formationCost(model)) }
}
