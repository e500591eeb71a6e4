package balancer

import (
	"math"
	"slices"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

const (
	// beginMemory is the time constant with which the evidence on an endpoint's times to the
	// first event fades, so that a slow one is tried again.
	beginMemory = 15 * time.Second
	// maxBeginSamples bounds that evidence, so that a few calls show a change.
	maxBeginSamples = 4
	// beginSpread is the standard deviation of the logarithm of the time to the first event at
	// sound endpoints, whose calls have prompts of different lengths.
	beginSpread = 0.5
	// minBegunEndpoints is the number of endpoints with evidence that are compared.
	minBegunEndpoints = 4
	// slowFactor is how many times slower than its peers an endpoint is, by more than the spread
	// of its samples explains, from which on it gets fewer calls.
	slowFactor = 2
	// trialSteepness is the power of an endpoint's slowness by which its room is divided: one
	// that is four times slower gets a sixteenth.
	trialSteepness = 2
	// busySlowRoom is the part of its room that an endpoint keeps while a trial runs there.
	busySlowRoom = 0.001
	// referenceInterval is the time between two comparisons of the endpoints of a pool.
	referenceInterval = 200 * time.Millisecond
)

// begins is the evidence on the times to the first event at one endpoint, as logarithms of
// seconds.
type begins struct {
	mean    float64
	samples float64
	at      time.Time
	// slow is set while the last sample left the endpoint clearly slower than its peers. It
	// then gets one call at a time.
	slow bool
}

// samplesAt returns the number of samples that count at a time.
func (begins *begins) samplesAt(now time.Time) float64 {
	return begins.samples * math.Exp(-float64(now.Sub(begins.at))/float64(beginMemory))
}

// observe adds a sample.
func (begins *begins) observe(now time.Time, elapsed time.Duration) {
	sample := math.Log(max(elapsed, time.Millisecond).Seconds())
	known := min(maxBeginSamples-1, begins.samplesAt(now))
	begins.mean = (begins.mean*known + sample) / (known + 1)
	begins.samples, begins.at = known+1, now
}

// slowness returns how many times slower than reference the endpoint is at least: the mean
// less one standard error. It is at least 1.
func (begins *begins) slowness(now time.Time, reference float64) float64 {
	samples := begins.samplesAt(now)
	if samples <= 0 {
		return 1
	}
	return math.Exp(max(0, begins.mean-reference-beginSpread/math.Sqrt(samples)))
}

// trialPart returns the part of its room that a slow endpoint keeps for trials. It rises to all
// of it as the evidence fades.
func (begins *begins) trialPart(now time.Time, reference float64) float64 {
	return math.Exp(-trialSteepness * max(0, begins.mean-reference) * min(1, begins.samplesAt(now)))
}

// ObserveFirstEvent records the time from sending a call to an endpoint to the first event of
// its answer.
func (balancer *Balancer) ObserveFirstEvent(now time.Time, pool Pool, endpoint feed.Endpoint, elapsed time.Duration) {
	balancer.ObserveTimeToFirstEvent(pool, elapsed)
	if pool.Model == "" {
		return
	}
	state, queue := balancer.state(endpoint), balancer.queue(pool)
	state.begins.observe(now, elapsed)
	if now.Sub(queue.referenceAt) >= referenceInterval {
		queue.referenceAt = now
		queue.reference, queue.compares = balancer.beginReference(now, balancer.endpoints(pool))
	}
	state.begins.slow = queue.compares && state.begins.slowness(now, queue.reference) > slowFactor
	if state.begins.slow {
		balancer.slow[endpoint] = true
	} else {
		delete(balancer.slow, endpoint)
	}
}

// beginReference returns the logarithm of the time to the first event that is usual at sound
// endpoints, as the lower quartile of the endpoints' means: half of them may be slow. It returns
// false if too few are known.
func (balancer *Balancer) beginReference(now time.Time, endpoints []*view.Endpoint) (reference float64, ok bool) {
	var means []float64
	for _, endpoint := range endpoints {
		state := balancer.stateByEndpoint[endpoint.Name]
		if state != nil && state.begins.samplesAt(now) >= 0.5 {
			means = append(means, state.begins.mean)
		}
	}
	if len(means) < minBegunEndpoints {
		return 0, false
	}
	slices.Sort(means)
	return means[len(means)/4], true
}

// slowRoom returns the part of its room that an endpoint keeps: all of it, unless it begins
// answers clearly more slowly than its peers. One that has been slow takes one call at a time
// as a trial, by the part that its evidence leaves, until an answer shows otherwise. Further
// calls go there only while no other endpoint takes them.
func (balancer *Balancer) slowRoom(now time.Time, call Call, queue *queue, endpoint feed.Endpoint) float64 {
	if len(balancer.slow) == 0 || call.Target <= 0 || queue == nil || !queue.compares {
		return 1
	}
	state := balancer.stateByEndpoint[endpoint]
	if state == nil || !state.begins.slow {
		return 1
	}
	if state.running > 0 {
		return busySlowRoom
	}
	return state.begins.trialPart(now, queue.reference)
}
