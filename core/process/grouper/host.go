package grouper

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// Host is one engine.
type Host struct {
	Host   id.Host
	Domain id.Domain
	// Loaded are the models that were in the engine's memory last, and Staged
	// those whose weights lie on its host.
	Loaded []id.Model
	Staged []id.Model
	// StagingModel is the model whose weights are on their way to the host.
	StagingModel id.Model
}

// HasNoWeights tells whether the engine needs a load for any model.
func (host Host) HasNoWeights() bool { return len(host.Loaded)+len(host.Staged) == 0 }

// HasWeights tells whether the engine needs no load for a model.
func (host Host) HasWeights(model id.Model) bool {
	return slices.Contains(host.Loaded, model) || slices.Contains(host.Staged, model)
}

// gets tells whether the engine holds a model or soon will.
func (host Host) gets(model id.Model) bool {
	return host.HasWeights(model) || host.StagingModel == model
}

// cost ranks hosts for a model: those first that have it in their memory, and
// those last that would lose the weights of another.
func (host Host) cost(model id.Model) int {
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

// byCost orders hosts by what a model costs on them.
func byCost(model id.Model) func(a, b Host) int {
	return func(a, b Host) int { return cmp.Compare(a.cost(model), b.cost(model)) }
}
