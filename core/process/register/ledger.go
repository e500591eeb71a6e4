package register

func (register *Register) beginCall(command Command, begin BeginCall) Result {
	old := register.calls[begin.Key]
	if old == nil {
		record := &CallRecord{
			State: CallInFlight, BodyHash: begin.BodyHash, Owner: begin.Owner,
			Attempt: command.Change, Expires: register.state.Clock.Elapsed + begin.Retention,
		}
		register.calls[begin.Key] = record
		return Result{Verdict: VerdictGranted}
	}
	if old.BodyHash != begin.BodyHash {
		return Result{Verdict: VerdictMismatch, Reason: "the key was used with another body"}
	}
	known := *old
	return Result{Verdict: VerdictKnown, Call: &known}
}

func (register *Register) finishCall(finish FinishCall) Result {
	record := register.calls[finish.Key]
	if record == nil && finish.NotRun {
		// The owner gave up before its record was committed; should that still
		// arrive, it must not hold the key.
		given := refused("the owner gave this attempt up")
		register.state.Attempts.add(finish.Attempt, register.state.Clock.Elapsed, given, attemptMemory)
		return Result{Verdict: VerdictDone}
	}
	if record == nil || record.Attempt != finish.Attempt {
		return refused("the call is not that of this attempt")
	}
	// An owner that was given up for lost may still bring the true answer.
	if record.State != CallInFlight && record.State != CallUnknown {
		return Result{Verdict: VerdictUnchanged}
	}
	switch {
	case finish.NotRun:
		delete(register.calls, finish.Key)
	case finish.Ran && finish.Answer == nil:
		record.State = CallExpired
	case finish.Ran:
		record.State, record.Answer = CallDone, finish.Answer
	default:
		record.State = CallUnknown
	}
	return Result{Verdict: VerdictDone}
}

func (register *Register) loseOwner(lose MarkOwnerLost) Result {
	for _, record := range register.calls {
		if record.State == CallInFlight && record.Owner == lose.Owner {
			record.State = CallUnknown
		}
	}
	return Result{Verdict: VerdictDone}
}

func (register *Register) expireCalls() Result {
	for _, record := range register.calls {
		if record.State == CallDone && register.state.Clock.Elapsed > record.Expires {
			record.State, record.Answer = CallExpired, nil
		}
	}
	return Result{Verdict: VerdictDone}
}
