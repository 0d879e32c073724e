package wire

// reasonInfo holds the HTTP status and the remedy that are returned to callers.
type reasonInfo struct {
	status int
	remedy string
}

var reasons = map[Reason]reasonInfo{
	ReasonBadRequest:            {400, "correct the request"},
	ReasonNoRoute:               {404, "check the path against the configured routes"},
	ReasonNoKey:                 {401, "send the workspace's key in the Authorization header as a bearer token"},
	ReasonBadKey:                {401, "ask the operators for a valid key"},
	ReasonForbidden:             {403, "use a key of a workspace that this route admits"},
	ReasonRateExceeded:          {429, "wait as Retry-After says, or ask the operators for a higher rate"},
	ReasonLimiterUnavailable:    {503, "try again shortly"},
	ReasonBusy:                  {503, "try again shortly"},
	ReasonTargetCold:            {503, "try again shortly"},
	ReasonLeaving:               {503, "try again at once on a new connection"},
	ReasonDataCentreOut:         {503, "try again at once on a new connection to another data centre"},
	ReasonNoTarget:              {503, "try again shortly; operators: check that targets of the service are announced"},
	ReasonStaleEpoch:            {503, "try again at once"},
	ReasonStaleConfig:           {503, "try again at once"},
	ReasonQuarantined:           {503, "do not repeat this request; it has crashed several targets"},
	ReasonTooLarge:              {413, "send a smaller body, or ask the operators to raise max_body"},
	ReasonTimeout:               {504, "try again with more time"},
	ReasonUnreachable:           {503, "try again shortly"},
	ReasonTargetFailed:          {502, "find out whether the request took effect before repeating it"},
	ReasonIdempotencyKeyReused:  {422, "use a new Idempotency-Key for a different request"},
	ReasonInProgress:            {409, "wait and repeat with the same Idempotency-Key"},
	ReasonClaimStoreUnavailable: {503, "repeat later with the same Idempotency-Key"},
	ReasonUnauthenticatedPeer:   {403, "operators: give all daemons the same cluster secret"},
	ReasonSettled:               {503, "try again at once"},
	ReasonStaleHost:             {503, "try again on a new connection to another host"},
	ReasonTargetDied:            {502, "find out whether the request took effect before repeating it"},
	ReasonDuplicateAttempt:      {409, "use a new attempt id"},
	ReasonTargetGray:            {503, "try again shortly"},
	ReasonVersionWithdrawn:      {503, "try again shortly; operators: see the roll-out of the service"},
	ReasonTargetShed:            {503, "try again shortly"},
	ReasonWrongTarget:           {503, "try again shortly"},
}

const statusUnknownReason = 500

// Status returns the HTTP status for callers.
func (r Reason) Status() int {
	info, ok := reasons[r]
	if !ok {
		return statusUnknownReason
	}
	return info.status
}

// Remedy returns a text that tells the caller how to proceed.
func (r Reason) Remedy() string {
	info, ok := reasons[r]
	if !ok {
		return "report this to the operators"
	}
	return info.remedy
}
