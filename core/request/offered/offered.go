// Package offered counts the work that callers offer to one entry host: that of all calls of
// known routes, also those that are refused later. The leader divides the engines between the
// models by it.
//
// The counts only rise while the process lives. A report therefore carries all that earlier
// ones did, and may get lost or come twice.
//
// # Usage
//
//	counts := offered.New()
//	tokens := counts.Add(offered.Call{Service: service, Model: model, Priority: 1, Size: size})
//	counts.Completed(service, model, tokens)
//	report := counts.Report()
package offered

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/work"
	"carobline.dev/core/version/routing"
)

const (
	// maxTokens stands for any larger number of tokens that a caller states.
	maxTokens = 1 << 20
	// maxPriority stands for any higher number, so that the priorities of client accounts
	// don't lengthen reports. 0 is the most urgent.
	maxPriority = 9
	// minCompleted is the number of complete answers whose mean stands for the size of one.
	minCompleted = 20
	// smoothing is the weight of one more answer in that mean: it reaches back some hundred.
	smoothing = 0.01
)

// Size is what a caller states of a call. A negative number is unknown.
type Size struct {
	Prompt, MostOut, HintOut float64
}

// Call is one call that was admitted.
type Call struct {
	Service  *routing.Service
	Model    id.Model
	Priority int
	Size     Size
}

// pool is a model of a service.
type pool struct {
	service id.Service
	model   id.Model
}

// key is what work is summed up by.
type key struct {
	pool     pool
	priority int
}

// sum is the work of a key so far.
type sum struct {
	calls  uint64
	workMS float64
}

// answers is the mean size of the complete answers of a pool.
type answers struct {
	count int
	mean  float64
}

// Offered holds the counts of one process. It isn't safe for concurrent use.
type Offered struct {
	sumByKey      map[key]sum
	answersByPool map[pool]answers
}

// New returns counts without calls.
func New() *Offered {
	return &Offered{sumByKey: map[key]sum{}, answersByPool: map[pool]answers{}}
}

// Work returns the time that a call takes of a group. It is zero for a model that isn't declared,
// and for a call of unknown size.
func (offered *Offered) Work(call Call) time.Duration {
	engine := call.Service.Engine
	if engine == nil {
		return 0
	}
	index := slices.IndexFunc(engine.Models, func(model routing.Model) bool { return model.Name == call.Model })
	if index < 0 {
		return 0
	}
	prompt := call.Size.Prompt
	if !known(prompt) {
		prompt = engine.Usual.Prompt
	}
	return work.Cost(engine, &engine.Models[index], min(prompt, maxTokens), offered.tokensOut(engine, pool{call.Service.Name, call.Model}, call.Size))
}

// Add counts a call, unless its work isn't known.
func (offered *Offered) Add(call Call) {
	cost := offered.Work(call)
	if cost <= 0 {
		return
	}
	key := key{pool{call.Service.Name, call.Model}, min(max(0, call.Priority), maxPriority)}
	sum := offered.sumByKey[key]
	sum.calls++
	sum.workMS += float64(cost.Microseconds()) / 1000 //nolint:mnd // microseconds to milliseconds
	offered.sumByKey[key] = sum
}

// tokensOut returns the expected size of the answer to a call. The caller's own estimate goes
// first: it tells the routes of a pool apart and is there for calls that are refused, while
// the mean of complete answers lacks those that a shortage has cut off.
func (offered *Offered) tokensOut(engine *routing.Engine, pool pool, size Size) float64 {
	expected := engine.Usual.Answer
	switch completed := offered.answersByPool[pool]; {
	case known(size.HintOut):
		expected = size.HintOut
	case completed.count >= minCompleted:
		expected = completed.mean
	}
	if known(size.MostOut) {
		expected = min(expected, size.MostOut)
	}
	return min(expected, maxTokens)
}

// known reports whether a caller has stated a number.
func known(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// Completed records the size of a complete answer.
func (offered *Offered) Completed(service id.Service, model id.Model, tokens float64) {
	pool := pool{service, model}
	completed := offered.answersByPool[pool]
	completed.count++
	completed.mean += max(smoothing, 1/float64(completed.count)) * (tokens - completed.mean)
	offered.answersByPool[pool] = completed
}

// Report returns the sums since the start of the process, in whole milliseconds.
func (offered *Offered) Report() []feed.OfferedWork {
	report := make([]feed.OfferedWork, 0, len(offered.sumByKey))
	for key, sum := range offered.sumByKey {
		report = append(report, feed.OfferedWork{
			Service: key.pool.service, Model: key.pool.model, Priority: key.priority, Calls: sum.calls, WorkMS: math.Round(sum.workMS),
		})
	}
	slices.SortFunc(report, func(a, b feed.OfferedWork) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Priority, b.Priority))
	})
	return report
}
