package register

func (register *Register) beginCall(command Command, begin BeginCall) Result {
	old := register.callByKey[begin.Key]
	if old == nil {
		record := &CallRecord{
			State: CallInFlight, BodyHash: begin.BodyHash, Owner: begin.Owner,
			Attempt: command.Change, AnswerExpiresAt: register.state.Clock.Elapsed + begin.Retention,
		}
		register.callByKey[begin.Key] = record
		return Result{Verdict: VerdictGranted}
	}
	if old.BodyHash != begin.BodyHash {
		return Result{Verdict: VerdictMismatch, Reason: "the key was used with another body"}
	}
	record := *old
	return Result{Verdict: VerdictKnown, Call: &record}
}

func (register *Register) finishCall(finish FinishCall) Result {
	record := register.callByKey[finish.Key]
	if record == nil && finish.NotRun {
		// The owner gave the attempt up before its BeginCall was committed. Should
		// that command still be committed, the refusal cached here keeps it from
		// occupying the key.
		refusal := refused("the owner gave this attempt up")
		register.state.Attempts.add(finish.Attempt, register.state.Clock.Elapsed, refusal, attemptRetention)
		return Result{Verdict: VerdictDone}
	}
	if record == nil || record.Attempt != finish.Attempt {
		return refused("the call is not that of this attempt")
	}
	// An owner that was marked as lost may still report the actual outcome.
	if record.State != CallInFlight && record.State != CallUnknown {
		return Result{Verdict: VerdictUnchanged}
	}
	switch {
	case finish.NotRun:
		delete(register.callByKey, finish.Key)
	case finish.Ran && finish.Answer == nil:
		record.State = CallExpired
	case finish.Ran:
		record.State, record.Answer = CallDone, finish.Answer
	default:
		record.State = CallUnknown
	}
	return Result{Verdict: VerdictDone}
}

func (register *Register) markOwnerLost(mark MarkOwnerLost) Result {
	for _, record := range register.callByKey {
		if record.State == CallInFlight && record.Owner == mark.Owner {
			record.State = CallUnknown
		}
	}
	return Result{Verdict: VerdictDone}
}

func (register *Register) expireCalls() Result {
	for _, record := range register.callByKey {
		if record.State == CallDone && register.state.Clock.Elapsed > record.AnswerExpiresAt {
			record.State, record.Answer = CallExpired, nil
		}
	}
	return Result{Verdict: VerdictDone}
}
