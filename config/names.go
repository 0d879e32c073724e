package config

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Names is a list whose absence, nil, means something else than an empty one. Its
// encodings keep the difference.
type Names []string

// IsZero reports whether there is no list. The encoders of JSON and YAML leave it out
// then.
func (n Names) IsZero() bool { return n == nil }

// UnmarshalJSON fails for null, which does not tell an absent list from an empty one.
func (n *Names) UnmarshalJSON(data []byte) error {
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "list of names")
	}
	if list == nil {
		return errors.New("list of names: null is neither a list nor left out")
	}
	*n = list
	return nil
}

// sorted returns a sorted copy.
func (n Names) sorted() Names {
	out := slices.Clone(n)
	slices.Sort(out)
	return out
}
