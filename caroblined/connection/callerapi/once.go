package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Carobline-Replayed"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// maxStoredAnswerBytes bounds an answer that is stored for resends.
	maxStoredAnswerBytes = 64 << 10
	// proposeTimeout bounds the recording of a call's start, and each try to
	// record its end.
	proposeTimeout = 5 * time.Second
	// abandonedTimeout is how long a call that must not repeat goes on after its caller
	// has disconnected.
	abandonedTimeout = 2 * time.Minute
	// inFlightWait is how long a resend waits for the first call's answer.
	inFlightWait = 10 * time.Second
	// inFlightPollInterval is how often the resend checks for that answer.
	inFlightPollInterval = 200 * time.Millisecond
)

// runOnce runs a call that must not repeat. The call is first admitted, then
// recorded by a majority of the voters, then sent once. While another call with
// the key is in flight, runOnce polls for that call's answer.
func (api *API) runOnce(ctx context.Context, writer http.ResponseWriter, serviceCall *serviceCall) error {
	deadline := api.config.Now().Add(inFlightWait)
	for round := 0; ; round++ {
		attempt := id.Change(string(serviceCall.call.id) + "-" + strconv.Itoa(round))
		answer, replayed, err := api.tryOnce(ctx, serviceCall, attempt)
		if err == nil {
			api.writeAnswer(writer, answer, replayed, serviceCall.holder)
			return nil
		}
		if !errors.Is(err, errInFlight) {
			return err
		}
		if ctx.Err() != nil || !api.config.Now().Before(deadline) {
			restError := rest.Unknown(http.StatusConflict, "call_in_flight", "the first call with this key is still running; send the same again later")
			restError.RetryAfter = time.Second
			return restError
		}
		select {
		case <-ctx.Done():
		case <-time.After(inFlightPollInterval):
		}
	}
}

// errInFlight reports that another call with the same idempotency key is still
// running.
var errInFlight = errors.New("the first call with this key is still running")

// tryOnce records and sends a call that must not repeat, or answers it from the
// record of an earlier call with the same key.
func (api *API) tryOnce(ctx context.Context, serviceCall *serviceCall, attempt id.Change) (answer *heldAnswer, replayed bool, err error) {
	admission, err := api.admitService(ctx, serviceCall)
	if err != nil {
		return nil, false, err
	}
	key := register.CallKey{ClientAccount: serviceCall.call.clientAccount.Contract.ClientAccount, Service: serviceCall.service, Key: serviceCall.idempotencyKey}
	result, err := api.recordBegin(ctx, serviceCall, key, attempt)
	if err != nil {
		admission.Finish(0, false)
		return nil, false, err
	}
	switch result.Verdict {
	case register.VerdictGranted:
		answer, err = api.dispatchOnce(ctx, admission, serviceCall, key, attempt)
		return answer, false, err
	case register.VerdictMismatch:
		admission.Finish(0, false)
		return nil, false, rest.NotRun(http.StatusUnprocessableEntity, "key_reused", "the "+headerIdempotencyKey+" was used with another request")
	case register.VerdictKnown:
		admission.Finish(0, false)
		return answerFromRecord(result.Call)
	default:
		admission.Finish(0, false)
		return nil, false, rest.NotRun(http.StatusServiceUnavailable, "not_recorded", "the call could not be recorded: "+result.Reason)
	}
}

// answerFromRecord answers a resend from the record of the first call.
func answerFromRecord(record *register.CallRecord) (*heldAnswer, bool, error) {
	switch {
	case record.State == register.CallDone && record.Answer != nil:
		return &heldAnswer{Answer: record.Answer}, true, nil
	case record.State == register.CallInFlight:
		return nil, false, errInFlight
	case record.State == register.CallUnknown:
		return nil, false, rest.Unknown(http.StatusConflict, "outcome_unknown", "an earlier call with this key may have run; it is not run again")
	default:
		return nil, false, rest.Unknown(http.StatusConflict, "answer_not_kept", "an earlier call with this key ran; its answer is no longer kept, and it is not run again")
	}
}

// recordBegin records a call with a majority of the voters. When it can't determine
// whether that succeeded, the call is never sent: recordBegin starts to record
// in the background that the attempt hasn't run, and then answers so.
func (api *API) recordBegin(ctx context.Context, serviceCall *serviceCall, key register.CallKey, attempt id.Change) (register.Result, error) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
	defer cancel()
	outcome, err := api.config.Propose(recordCtx, peers.Proposal{Command: register.Command{
		Change: attempt, Actor: "customer:" + string(key.ClientAccount),
		BeginCall: &register.BeginCall{
			Key: key, BodyHash: serviceCall.bodyHash(), Owner: api.config.Owner, Retention: serviceCall.call.clientAccount.Contract.KeyRetention(),
		},
	}})
	if err == nil {
		return *outcome.Result, nil
	}
	api.recordFinishInBackground(register.FinishCall{Key: key, Attempt: attempt, NotRun: true})
	return register.Result{}, rest.NotRun(http.StatusServiceUnavailable, "not_recorded", "the call could not be recorded by a majority in time, and was not run: "+err.Error())
}

// bodyHash returns a hash of method, target and body. It distinguishes a resend
// from another request with the same key.
func (serviceCall *serviceCall) bodyHash() string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, strings.Join([]string{serviceCall.method, serviceCall.target, strconv.Itoa(len(serviceCall.body))}, "\x00"))
	_, _ = sum.Write(serviceCall.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// dispatchOnce sends a recorded call. The call continues in the background when
// the caller has disconnected, so that a resend finds the answer.
func (api *API) dispatchOnce(ctx context.Context, admission *traffic.Admission, serviceCall *serviceCall, key register.CallKey, attempt id.Change) (*heldAnswer, error) {
	type outcome struct {
		answer *heldAnswer
		err    error
	}
	outcomes := make(chan outcome)
	serviceCall.call.body.uses.Add(1)
	api.config.RunInBackground(func(background context.Context) {
		run, cancel := context.WithCancel(background)
		defer cancel()
		defer context.AfterFunc(ctx, func() { cancelAfter(run, cancel, abandonedTimeout) })()
		defer serviceCall.call.body.release()
		answer, err := api.sendOnce(run, admission, serviceCall, key, attempt)
		select {
		case outcomes <- outcome{answer, err}:
		case <-ctx.Done():
			answer.close()
		}
	})
	select {
	case outcome := <-outcomes:
		return outcome.answer, outcome.err
	case <-ctx.Done():
		return nil, rest.Unknown(rest.StatusClientClosed, "caller_gone", "the caller went away; the call goes on")
	}
}

// cancelAfter cancels a context after a time, unless it ends before.
func cancelAfter(ctx context.Context, cancel context.CancelFunc, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		cancel()
	case <-ctx.Done():
	}
}

// sendOnce sends a recorded call and records its end. It tries another endpoint
// only while the call provably hasn't been sent.
func (api *API) sendOnce(ctx context.Context, admission *traffic.Admission, serviceCall *serviceCall, key register.CallKey, attempt id.Change) (*heldAnswer, error) {
	for attemptNumber := 1; ; attemptNumber++ {
		answer, sent, err := api.exchange(ctx, admission, serviceCall, attemptNumber, ownConnection)
		switch {
		case err == nil:
			admission.Finish(0, false)
			storedAnswer := answer.Answer
			if len(answer.Body) > maxStoredAnswerBytes {
				storedAnswer = nil
			}
			api.recordFinish(ctx, register.FinishCall{Key: key, Attempt: attempt, Answer: storedAnswer, Ran: true})
			return answer, nil
		case sent:
			admission.Finish(0, true)
			api.recordFinish(ctx, register.FinishCall{Key: key, Attempt: attempt})
			return nil, serviceError(err, true)
		case attemptNumber < maxAttempts && ctx.Err() == nil && admission.Move(ctx, 0, true):
			continue
		default:
			admission.Finish(0, true)
			api.recordFinish(ctx, register.FinishCall{Key: key, Attempt: attempt, NotRun: true})
			return nil, serviceError(err, false)
		}
	}
}

// recordFinish records the end of a call before the caller gets the answer.
// When that fails or takes too long, it continues in the background.
func (api *API) recordFinish(ctx context.Context, finish register.FinishCall) {
	const timeout = time.Second
	recordCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if api.proposeFinish(recordCtx, finish) != nil {
		api.recordFinishInBackground(finish)
	}
}

// recordFinishInBackground tries to record the end of a call until a majority
// has accepted it or the daemon closes.
func (api *API) recordFinishInBackground(finish register.FinishCall) {
	api.config.RunInBackground(func(ctx context.Context) {
		for ctx.Err() == nil {
			recordCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
			err := api.proposeFinish(recordCtx, finish)
			cancel()
			if err == nil {
				return
			}
			api.config.Log.Warn().Err(err).Str("step", "finish_call").Msg("recording the end of a call failed; retrying")
		}
	})
}

func (api *API) proposeFinish(ctx context.Context, finish register.FinishCall) error {
	_, err := api.config.Propose(ctx, peers.Proposal{Command: register.Command{
		Change: finish.Attempt + "-end", Actor: "customer:" + string(finish.Key.ClientAccount), FinishCall: &finish,
	}})
	return err
}
