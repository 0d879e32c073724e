package limiter

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
)

// The methods between limiters.
const (
	methodTake     = "limit.take"
	methodGive     = "limit.give"
	methodYield    = "limit.yield"
	methodHandover = "limit.handover"
)

// rowID names a row of owners.
type rowID struct {
	DataCentre string `json:"dc"`
	Shard      int    `json:"shard"`
}

// key is the row's key in the table.
func (r rowID) key() string { return shardPrefix(r.Shard) + r.DataCentre }

// takeItem asks for N tokens of one workspace.
type takeItem struct {
	Workspace string `json:"w"`
	N         int    `json:"n"`
}

// takeRequest is a batch of asks to the owner of a row.
type takeRequest struct {
	Row   rowID      `json:"row"`
	Items []takeItem `json:"items"`
}

// takeGrant answers one takeItem.
type takeGrant struct {
	Granted int `json:"g"`
	// NoShare means that the owner holds no share of the workspace.
	NoShare bool `json:"not_holder,omitempty"`
	// RetryAfter is when to try again if less than asked was granted.
	RetryAfter time.Duration `json:"wait,omitempty"`
}

// takeReply answers a takeRequest. Either Grants has one entry per item, or
// NotOwner is set and Owner may name who is.
type takeReply struct {
	Grants   []takeGrant  `json:"grants,omitempty"`
	NotOwner bool         `json:"not_owner,omitempty"`
	Owner    *limit.Owner `json:"owner,omitempty"`
}

// giveRequest asks an owner to pass tokens to the owner of another data centre.
type giveRequest struct {
	Row       rowID  `json:"row"`
	Workspace string `json:"w"`
	Want      int    `json:"want"`
}

// giveReply answers a giveRequest; the giver has deducted Granted.
type giveReply struct {
	Granted  int          `json:"g"`
	NotOwner bool         `json:"not_owner,omitempty"`
	Owner    *limit.Owner `json:"owner,omitempty"`
}

// yieldRequest asks a former owner to step down from an epoch of a row.
type yieldRequest struct {
	Row   rowID  `json:"row"`
	Epoch uint64 `json:"epoch"`
}

// yieldReply tells whether the asked daemon may still grant in that epoch.
type yieldReply struct {
	Incarnation uint64 `json:"inc"`
	MayGrant     bool   `json:"holding"`
}

// handoverRequest passes levels to the successor. The sender has ended its
// session of the epoch before sending.
type handoverRequest struct {
	Row    rowID           `json:"row"`
	Epoch  uint64          `json:"epoch"`
	Levels []handoverLevel `json:"levels"`
}

// handoverLevel is the level of one workspace's bucket.
type handoverLevel struct {
	Workspace string  `json:"w"`
	Level     float64 `json:"l"`
}

// handoverReply tells whether the receiver keeps the levels.
type handoverReply struct {
	Accepted bool `json:"kept"`
}
