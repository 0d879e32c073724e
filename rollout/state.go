package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Phase is a step of a roll-out.
type Phase int

// Phases in their order. A phase never goes back within an order.
const (
	// Canary lets one target of the new version serve, within the exposure budget.
	Canary Phase = iota + 1
	// Ramp moves the traffic in steps. Targets of both versions serve.
	Ramp
	// Withdraw lets only targets of the new version serve.
	Withdraw
	// Completed and RolledBack are final.
	Completed
	RolledBack
)

var phaseNames = map[Phase]string{Canary: "canary", Ramp: "ramp", Withdraw: "withdraw", Completed: "completed", RolledBack: "rolled_back"}

func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p >= Completed }

// Order is an operators' order.
type Order struct {
	Service, Target string
	// Version is the version of the order's row. It identifies the order.
	Version  uint64
	Duration time.Duration
}

// Limits bound the exposure to a bad version.
type Limits struct {
	// Share is the part of the service's requests, and Slack the number in addition.
	Share, Slack float64
}

const (
	// shareMargin and slackMargin are the parts of the limits that are used. The rest
	// covers requests that the count of the whole includes and the platform's does
	// not, such as retries.
	shareMargin = 0.85
	slackMargin = 0.7
)

// budget returns how many requests the new version may receive when the service has
// received a total of requests.
func (l Limits) budget(total int) int {
	return int(shareMargin*l.Share*float64(total) + slackMargin*l.Slack)
}

// State is what a takeover needs to continue a roll-out. It is written to the row of
// the service.
type State struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// From is the version that the service runs without the roll-out. It is empty if
	// that is not known.
	From string `json:"from,omitempty"`
	// Order is the version of the order's row.
	Order  uint64 `json:"order"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	Phase  Phase  `json:"phase"`
	// ElapsedMs is the time since the order when the state was written. FirstMs is when
	// a gate of the new version first reported, or 0, and RampMs and WithdrawMs are when
	// the phases began.
	ElapsedMs  int64 `json:"elapsed_ms"`
	FirstMs    int64 `json:"first_ms,omitempty"`
	RampMs     int64 `json:"ramp_ms,omitempty"`
	WithdrawMs int64 `json:"withdraw_ms,omitempty"`
	// OrderedAtMs is the time of the order on the store's clock, or 0 if not known.
	OrderedAtMs int64 `json:"ordered_at_ms,omitempty"`
	// Total is the number of requests of the service since the order, as far as known,
	// and Charged the upper limit of the allowances granted.
	Total   int     `json:"total"`
	Charged int     `json:"charged"`
	Old     Tallies `json:"old,omitempty"`
	New     Tallies `json:"new,omitempty"`
	Scores  Scores  `json:"scores"`
	// Suspects are the hosts whose targets have been found bad on their own, and BadBy
	// holds the bad answers since then by host.
	Suspects []string       `json:"suspects,omitempty"`
	BadBy    map[string]int `json:"bad_by,omitempty"`
	// SuspectReason says what was found of the suspect.
	SuspectReason string `json:"suspect_reason,omitempty"`
	// Reason says why the roll-out was rolled back.
	Reason string `json:"reason,omitempty"`
}

// Elapsed returns the time since the order when the state was written.
func (s *State) Elapsed() time.Duration { return time.Duration(s.ElapsedMs) * time.Millisecond }

// InUse returns the version that the service runs when the roll-out has ended.
func (s *State) InUse() string {
	if s.Phase == Completed {
		return s.Target
	}
	return s.From
}

// Directive returns what the gates must know of the state.
func (s *State) Directive() Directive {
	return Directive{Order: s.Order, Term: s.Term, Phase: s.Phase, Target: s.Target, From: s.From}
}

// MaxStateBytes is the limit of a row's value.
const MaxStateBytes = 64 << 10

// Encode encodes a state for its row.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode roll-out state")
	}
	if len(data) > MaxStateBytes {
		return nil, errors.Errorf("roll-out state of %d bytes exceeds the limit of %d; reduce the routes of service %s", len(data), MaxStateBytes, s.Service)
	}
	return data, nil
}

// DecodeState decodes the value of a row.
func DecodeState(value []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, errors.Wrap(err, "decode roll-out state")
	}
	if s.Service == "" || s.Target == "" || s.Order == 0 || s.Term == 0 || phaseNames[s.Phase] == "" {
		return nil, errors.New("roll-out state: missing or invalid field")
	}
	return s, nil
}

func (s *State) clone() *State {
	c := *s
	c.Old, c.New = s.Old.clone(), s.New.clone()
	c.Suspects, c.BadBy = slices.Clone(s.Suspects), maps.Clone(s.BadBy)
	c.Scores = Scores{Failed: map[string]Score{}, Slow: map[string]Score{}}
	for route, score := range s.Scores.Failed {
		c.Scores.Failed[route] = score
	}
	for route, score := range s.Scores.Slow {
		c.Scores.Slow[route] = score
	}
	return &c
}
