package configstore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

const (
	keyHead       = "config/head"
	prefixSection = "config/section/"
	prefixLog     = "config/log/"
	prefixChange  = "config/change/"
)

// rowFormat is the version of the row encoding. It is incremented when older
// programs could misinterpret the rows.
const rowFormat = 1

type headRow struct {
	Format   int    `json:"format"`
	Revision uint64 `json:"revision"`
}

type sectionRow struct {
	Format int `json:"format"`
	StoredSection
}

type logRow struct {
	Format int `json:"format"`
	Delta
}

type changeRow struct {
	Format   int    `json:"format"`
	Revision uint64 `json:"revision"`
	// Digest is Change.digest. It detects the use of one ID for two changes.
	Digest string `json:"digest"`
}

// tombstone returns the record of a removed section.
func tombstone(name, author string, revision uint64) StoredSection {
	return StoredSection{Revision: revision, Author: author, Removed: true, Section: config.Section{Name: name}}
}

// StoredSection is a section as stored in the table.
type StoredSection struct {
	// Revision is the revision of the document that last changed the section.
	Revision uint64 `json:"revision"`
	// Author made that change.
	Author string `json:"author"`
	// Removed marks a tombstone: the section was removed and only its name is
	// left. It prevents a change that is based on an older revision from
	// restoring the section unintentionally.
	Removed bool           `json:"removed,omitempty"`
	Section config.Section `json:"section"`
}

// Delta is one accepted change as recorded in the log.
type Delta struct {
	// Revision is the document's revision after the change.
	Revision uint64 `json:"revision"`
	// ChangeID identifies the change.
	ChangeID string    `json:"change"`
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	Time     time.Time `json:"time"`
	// Patches has one patch for each changed section.
	Patches []config.Patch `json:"patches"`
}

func sectionKey(name string) string { return prefixSection + name }
func logKey(rev uint64) string      { return fmt.Sprintf("%s%020d", prefixLog, rev) }
func changeKey(id string) string    { return prefixChange + id }

// decodeRow decodes a row into v and checks its format, which v sets in *format.
func decodeRow(row platform.Row, format *int, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return &CorruptError{Key: row.Key, Err: err}
	}
	if *format != rowFormat {
		return &CorruptError{Key: row.Key, Err: errors.Errorf("row has format %d, but this program supports format %d; upgrade this program", *format, rowFormat)}
	}
	return nil
}

// encodeRow encodes a row. All row types can be encoded as JSON, so it cannot
// fail.
func encodeRow(key string, v any) platform.Write {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode row "+key))
	}
	return platform.Write{Key: key, Value: data}
}
