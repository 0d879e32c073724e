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

// rowFormat is raised when older programs could misread the rows.
const rowFormat = 1

type headRow struct {
	Format   int    `json:"format"`
	Revision uint64 `json:"revision"`
}

type sectionRow struct {
	Format int `json:"format"`
	Stored
}

type logRow struct {
	Format int `json:"format"`
	Delta
}

type changeRow struct {
	Format   int    `json:"format"`
	Revision uint64 `json:"revision"`
	// Digest is Change.digest, to recognise an id used for two changes.
	Digest string `json:"digest"`
}

// removed returns the mark of a removed section.
func removed(name, author string, revision uint64) Stored {
	return Stored{Revision: revision, Author: author, Removed: true, Section: config.Section{Name: name}}
}

// Stored is a section as it is kept.
type Stored struct {
	// Revision is the revision of the document that changed it last.
	Revision uint64 `json:"revision"`
	// Author made that change.
	Author string `json:"author"`
	// Removed marks a section that was removed; only its name is left. The
	// mark keeps an editor of an older revision from bringing it back unawares.
	Removed bool           `json:"removed,omitempty"`
	Section config.Section `json:"section"`
}

// Delta is one accepted change.
type Delta struct {
	// Revision is the document's revision after the change.
	Revision uint64 `json:"revision"`
	// ChangeID identifies the change.
	ChangeID string    `json:"change"`
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	Time     time.Time `json:"time"`
	// Patches change one section each.
	Patches []config.Patch `json:"patches"`
}

func sectionKey(name string) string { return prefixSection + name }
func logKey(rev uint64) string      { return fmt.Sprintf("%s%020d", prefixLog, rev) }
func changeKey(id string) string    { return prefixChange + id }

// decodeRow reads a row that this program understands.
func decodeRow(row platform.Row, format *int, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return &CorruptError{Key: row.Key, Err: err}
	}
	if *format != rowFormat {
		return &CorruptError{Key: row.Key, Err: errors.Errorf("format %d instead of %d; upgrade this program", *format, rowFormat)}
	}
	return nil
}

// encodeRow cannot fail: the types of rows all have a JSON form.
func encodeRow(key string, v any) platform.Write {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "row "+key))
	}
	return platform.Write{Key: key, Value: data}
}
