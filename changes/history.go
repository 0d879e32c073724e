package changes

import (
	"slices"

	"github.com/gooseberryshed/gooseberryshed/docdelta"
)

// Value is a value of the document.
type Value struct {
	Digest string
	Data   []byte
}

// maxFormer is the number of former values that are kept. Most hosts have the latest one, and
// some are a few changes behind.
const maxFormer = 4

// History holds the latest values of the document, newest first. It is immutable: With returns
// another one.
type History []Value

// With returns the history with a value in front.
func (h History) With(data []byte) History {
	if len(data) == 0 || len(h) > 0 && string(h[0].Data) == string(data) {
		return h
	}
	out := append(History{{docdelta.Digest(data), data}}, h...)
	return slices.Clip(out[:min(len(out), 1+maxFormer)])
}

// Newest returns the newest value, or nil.
func (h History) Newest() *Value {
	if len(h) == 0 {
		return nil
	}
	return &h[0]
}

// Find returns the value with a digest, or nil.
func (h History) Find(digest string) *Value {
	if i := slices.IndexFunc(h, func(v Value) bool { return v.Digest == digest }); i >= 0 {
		return &h[i]
	}
	return nil
}
