package limiter

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
)

// RPC methods between limiters.
const (
	methodTake     = "limit.take"
	methodGive     = "limit.give"
	methodYield    = "limit.yield"
	methodHandover = "limit.handover"
)

// rowID identifies an ownership row.
type rowID struct {
	limit.Holder
	Shard int `json:"shard"`
}

// key returns the row's key in the table.
func (r rowID) key() string { return shardPrefix(r.Shard) + r.Holder.String() }

// takeItem requests N tokens of one workspace.
type takeItem struct {
	Workspace string `json:"w"`
	N         int    `json:"n"`
}

// takeRequest is a batch of token requests to the owner of a row.
type takeRequest struct {
	Row   rowID      `json:"row"`
	Items []takeItem `json:"items"`
}

// takeGrant is the reply to one takeItem.
type takeGrant struct {
	Granted int `json:"g"`
	// NoShare means that the owner has no share of the workspace.
	NoShare bool `json:"not_holder,omitempty"`
	// RetryAfter is the advised delay if fewer tokens were granted than
	// requested.
	RetryAfter time.Duration `json:"wait,omitempty"`
}

// takeReply is the reply to a takeRequest. Either Grants has one entry per
// item, or NotOwner is set and Owner may name the presumed owner.
type takeReply struct {
	Grants   []takeGrant  `json:"grants,omitempty"`
	NotOwner bool         `json:"not_owner,omitempty"`
	Owner    *limit.Owner `json:"owner,omitempty"`
}

// giveRequest asks an owner to transfer tokens to the owner in another data
// centre.
type giveRequest struct {
	Row       rowID  `json:"row"`
	Workspace string `json:"w"`
	Want      int    `json:"want"`
}

// giveReply is the reply to a giveRequest. The sender has already deducted
// Granted from its bucket.
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

// yieldReply reports whether the daemon may still grant in that epoch.
type yieldReply struct {
	Incarnation uint64 `json:"inc"`
	MayGrant    bool   `json:"holding"`
}

// handoverRequest transfers bucket levels to the successor. The sender has
// stopped granting in the epoch before it sends this.
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

// handoverReply reports whether the receiver has accepted the levels.
type handoverReply struct {
	Accepted bool `json:"kept"`
}
