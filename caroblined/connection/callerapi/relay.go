package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/id"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/version/view"
)

// relay passes one answer from engines to its caller, over one or more
// attempts.
type relay struct {
	api       *API
	call      *call
	admission *traffic.Admission
	path      string
	model     id.Model
	body      []byte
	// parts is what the guard receives about the call.
	parts partsguard.Call
	// breaks counts the attempts that broke off before the answer had begun.
	breaks    int
	prefix    uint64
	maxTokens id.Tokens
	sink      sink

	attempt int
	// possibleRuns counts the attempts and successors that may have run the call.
	possibleRuns atomic.Int64
	// deliveredTokens is the id of the last event that the sink has taken.
	// Engines number the events of an answer from 1, one a token.
	deliveredTokens atomic.Int64
	failed          bool
}

// delivered returns the number of tokens that the sink has taken.
func (relay *relay) delivered() id.Tokens { return id.Tokens(relay.deliveredTokens.Load()) }

// sink takes the events of an answer. It sends each to the caller, or collects
// them into a whole answer.
type sink interface {
	// event takes one event that isn't the end mark. The argument more reports
	// that the next event has already arrived whole.
	event(event *sse.Event, more bool) error
	// end takes the raw end mark and completes the answer.
	end(raw []byte) error
	// fail reports an error to the caller of an answer that has started and
	// stays incomplete.
	fail(err *rest.Error)
}

// errCallerGone ends a call whose caller no longer accepts writes.
var errCallerGone = errors.New("write to the caller failed")

// errNotWhole reports that the node may not start work at an endpoint any more.
var errNotWhole = errors.New("the endpoint is no longer whole")

// errNotJSON reports an event of an engine that can't be passed on.
var errNotJSON = errors.New("the engine sent an event that isn't JSON")

// run makes attempts until the answer is complete or can't be completed. A successor
// of a handover doesn't count as an attempt.
func (relay *relay) run(ctx context.Context) error {
	var successor *attempt
	for {
		var err error
		successor, err = relay.runAttempt(ctx, successor)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil || errors.Is(err, errCallerGone):
			return rest.Unknown(rest.StatusClientClosed, "caller_gone", "the caller went away")
		case successor != nil:
		default:
			if retry := relay.retryAtAnother(ctx, err); !retry {
				return relay.failAnswer(err)
			}
		}
	}
}

// retryAtAnother moves the call to another endpoint after a failed attempt. It
// returns false when the call must not be tried again or finds no endpoint.
func (relay *relay) retryAtAnother(ctx context.Context, err error) bool {
	var engineError *engineError
	if errors.As(err, &engineError) && !engineError.retry {
		return false
	}
	if !relay.mayResend() {
		relay.failed = true
		return false
	}
	resumable := relay.delivered() == 0 || relay.admission.Endpoint().Resumes
	if !resumable || relay.attempt >= maxAttempts || !relay.api.config.RetryBudget.Spend() {
		relay.failed = true
		return false
	}
	relay.call.log.Warn().Err(err).Str("step", "retry").Str("endpoint", relay.call.lastEndpoint).Int("attempt", relay.attempt).Msg("attempt failed; retrying the call at another endpoint")
	if relay.delivered() > 0 {
		relay.api.meters.resumed.Inc(1)
	}
	moved := relay.admission.Move(ctx, relay.admission.Level(), true)
	if !moved {
		relay.api.config.RetryBudget.Refund()
	}
	return moved
}

// failAnswer returns the error for a caller whose answer can't be completed. If
// the answer has started, it also reports the error within the answer.
func (relay *relay) failAnswer(err error) error {
	var engineError *engineError
	if errors.As(err, &engineError) && engineError.callerError != nil {
		refusal := engineError.callerError
		if relay.possibleRuns.Load() == 0 {
			return refusal
		}
		// Another engine, which got the call in another attempt or as a successor, may have run it.
		return rest.Unknown(refusal.Status, refusal.Code, refusal.Message)
	}
	if refusal := refuseEvacuated(err); refusal != nil && relay.possibleRuns.Load() == 0 {
		return refusal
	}
	restError := rest.Unknown(http.StatusBadGateway, "upstream_failed", "the answer could not be completed: "+err.Error())
	if relay.call.answerStarted {
		relay.sink.fail(restError)
	}
	return restError
}

// engineError is an engine's answer with an error status. If retry is set, the
// call may be tried elsewhere; callerError, if set, is what the caller gets.
type engineError struct {
	retry       bool
	callerError *rest.Error
	cause       string
}

// Error implements error.
func (engineError *engineError) Error() string { return engineError.cause }

// attempt is one send of a call to one endpoint.
type attempt struct {
	endpoint *view.Endpoint
	level    attained.Level
	ctx      context.Context //nolint:containedctx // bounds the attempt itself
	cancel   context.CancelCauseFunc
	// response is nil until the engine's headers have come.
	response *http.Response
	events   eventSource
	// charge is for the events that are held, and nil until the attempt is sent.
	charge *memory.Charge
	// release, if set, releases what ctx is derived from.
	release context.CancelFunc
}

// end ends the attempt.
func (attempt *attempt) end() {
	attempt.cancel(nil)
	if attempt.release != nil {
		attempt.release()
	}
	if attempt.response != nil {
		_ = attempt.response.Body.Close()
	}
	attempt.charge.Close()
}

// runAttempt makes one attempt at the call's current endpoint, or goes on with the
// attempt that has been started there as the successor of an earlier one. When it
// returns an error, the answer may go on with the successor that it returns, if any.
func (relay *relay) runAttempt(ctx context.Context, current *attempt) (*attempt, error) {
	if current == nil {
		relay.attempt++
		started, cancel, ok := relay.admission.Attempt(ctx)
		if !ok {
			return nil, relay.api.notStarted(relay.admission.Endpoint())
		}
		current = &attempt{endpoint: relay.admission.Endpoint(), level: relay.admission.Level(), ctx: started, cancel: cancel}
	}
	defer current.end()
	relay.call.lastEndpoint = endpointName(current.endpoint)
	handover := relay.startHandover(ctx, current)
	err := relay.exchange(current, handover)
	relay.recordBrokenOff(current, err)
	successor := handover.finish(ctx.Err() == nil && mayGoOn(err))
	switch {
	case successor == nil:
	case successor.level > current.level:
		relay.api.meters.demoted.Inc(1)
	default:
		relay.api.meters.resumed.Inc(1)
	}
	return successor, err
}

// mayGoOn reports whether an answer whose attempt has ended with err goes on with its
// successor.
func mayGoOn(err error) bool {
	var engineError *engineError
	if errors.As(err, &engineError) {
		return engineError.retry
	}
	return err != nil && !errors.Is(err, errCallerGone)
}

// exchange sends an attempt, unless it has been sent, and passes its answer on.
func (relay *relay) exchange(current *attempt, handover *handover) error {
	if current.response == nil {
		if err := relay.send(current); err != nil {
			return err
		}
	}
	err := relay.copy(current, handover)
	if err != nil && !errors.Is(err, errCallerGone) {
		return errors.Wrapf(causeOf(current.ctx, err), "read engine at %s", current.endpoint.Address)
	}
	return err
}

// send sends an attempt, waits for the headers of its answer, and counts it unless it certainly hasn't run.
func (relay *relay) send(attempt *attempt) error {
	err := relay.request(attempt)
	var engineError *engineError
	refused := errors.As(err, &engineError) && engineError.callerError != nil
	if !refused && !endpoint.Unsent(err) {
		relay.possibleRuns.Add(1)
	}
	return err
}

// request sends an attempt and waits for the headers of its answer.
func (relay *relay) request(attempt *attempt) error {
	address := attempt.endpoint.Address
	request, err := http.NewRequestWithContext(attempt.ctx, http.MethodPost, "http://"+address+relay.path, bytes.NewReader(relay.body))
	if err != nil {
		return errors.Wrapf(err, "request to %s", address)
	}
	relay.setHeaders(request, attempt)
	if err := blockedError(relay.api.config.Guard.Take(relay.parts)); err != nil {
		return &engineError{callerError: err, cause: err.Message}
	}
	response, err := relay.api.config.EngineTransport.RoundTrip(request) //nolint:bodyclose // attempt.end closes it
	if err != nil {
		return errors.Wrapf(causeOf(attempt.ctx, err), "call engine at %s", address)
	}
	attempt.response, attempt.events.reader = response, sse.NewReader(response.Body, maxEventBytes)
	attempt.charge = relay.api.config.Account.Open(completionHolder(relay.model, attempt.endpoint), string(relay.call.id), func(bool) { attempt.cancel(errNoMemory) })
	attempt.events.reader.OnGrow(func(size int) error {
		if attempt.charge.Resize(relay.api.config.Now(), memory.Bytes(size)) != nil {
			return errNoMemory
		}
		return nil
	})
	return relay.checkResponse(response)
}

// causeOf returns the cause with which ctx was cancelled, or err if it wasn't.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (relay *relay) setHeaders(request *http.Request, attempt *attempt) {
	endpoint := attempt.endpoint
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(rest.HeaderRequestID, string(relay.call.id))
	header.Set(headerAttempt, strconv.Itoa(relay.attempt))
	header.Set(headerGroup, string(endpoint.Name.Group))
	header.Set(headerFencing, strconv.FormatUint(uint64(endpoint.Fencing), 10))
	header.Set(headerPriority, strconv.Itoa(int(attempt.level)))
	header.Set(headerPrefix, strconv.FormatUint(uint64(uint32(relay.prefix)), 10))
	if delivered := relay.delivered(); delivered > 0 {
		header.Set(headerLastEventID, strconv.FormatInt(int64(delivered), 10))
	}
}

// checkResponse checks that the engine's answer belongs to this request and has
// status 200.
func (relay *relay) checkResponse(response *http.Response) error {
	if got := response.Header.Get(rest.HeaderRequestID); got != string(relay.call.id) {
		return errors.Wrapf(endpoint.ErrForeignAnswer, "engine answered request %q with %s, not this one", got, response.Status)
	}
	if response.StatusCode != http.StatusOK {
		return readEngineError(response)
	}
	return nil
}

// readEngineError converts an engine's error answer. Conflicts, rate limits and
// server errors depend on the engine's state and may be retried; any other
// status goes to the caller. An answer that breaks off is none: its call may have run.
func readEngineError(response *http.Response) error {
	const maxBytes = 8 << 10
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return &engineError{retry: true, cause: "engine answered " + response.Status + " and broke off: " + err.Error()}
	}
	engineError := &engineError{cause: "engine answered " + response.Status + ": " + string(bytes.TrimSpace(text))}
	switch {
	case response.StatusCode == http.StatusConflict, response.StatusCode == http.StatusTooManyRequests, response.StatusCode >= http.StatusInternalServerError:
		engineError.retry = true
	default:
		engineError.callerError = rest.NotRun(response.StatusCode, "refused_by_engine", engineError.cause)
	}
	return engineError
}

// copy passes events to the sink as they arrive, up to the end mark.
func (relay *relay) copy(current *attempt, handover *handover) error {
	body, events := current.response.Body, &current.events
	for unnumbered, repeated := 0, id.Tokens(0); ; {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return errors.New("the stream ended without its end mark")
		}
		if err != nil {
			return err
		}
		if event.Done() {
			err := relay.sink.end(event.Raw)
			relay.drain(body, current.cancel)
			return err
		}
		if event.HasID && event.ID <= int64(relay.delivered()) {
			if repeated++; repeated > relay.maxTokens {
				return errors.Errorf("the stream repeated more than the %d tokens that were asked for", relay.maxTokens)
			}
			continue // already delivered before the stream was resumed
		}
		if event.HasID && event.ID > int64(relay.maxTokens)+1 {
			return errors.Errorf("the stream goes on past the %d tokens that were asked for", relay.maxTokens)
		}
		if !event.HasID {
			if unnumbered++; unnumbered > maxUnnumberedEvents {
				return errors.Errorf("the stream sent more than %d events without a number", maxUnnumberedEvents)
			}
		}
		if event.HasID && event.ID != int64(relay.delivered())+1 {
			return errors.Errorf("the stream left out tokens after %d", relay.delivered())
		}
		slow, err := relay.deliver(&event, events.ready())
		if err != nil {
			return err
		}
		handover.recordEvent()
		if slow {
			handover.request(errEndpointSlow)
		}
		if relay.api.config.PriorityLevels.Level(relay.delivered()) > current.level {
			handover.request(errDemoted)
		}
	}
}

// drain reads the rest of the body, so that the transport can reuse the
// connection. The caller already has its answer, so the time and the bytes for
// this are bounded.
func (relay *relay) drain(body io.Reader, cancel context.CancelCauseFunc) {
	const timeout, maxBytes = 100 * time.Millisecond, 1 << 10
	timer := time.AfterFunc(timeout, func() { cancel(nil) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxBytes)
}

// deliver passes one event to the sink. It returns true when the endpoint has
// been ejected as slow.
func (relay *relay) deliver(event *sse.Event, more bool) (slow bool, err error) {
	if !json.Valid(event.Data) {
		return false, errNotJSON
	}
	if err := relay.sink.event(event, more); err != nil {
		return false, err
	}
	if !event.HasID {
		return false, nil
	}
	if relay.delivered() == 0 {
		relay.api.config.Guard.Began(relay.parts)
		relay.api.meters.firstToken.Update(relay.api.config.Now().Sub(relay.call.startedAt).Microseconds())
	}
	relay.deliveredTokens.Store(event.ID)
	relay.api.meters.tokens.Inc(1)
	return relay.admission.RecordToken(), nil
}
