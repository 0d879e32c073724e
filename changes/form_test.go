package changes

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/docdelta"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// document8000 is a document of some 700 kB. One of its lines is the number of a change.
func document8000(change int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for i := range 8000 {
		n := 0
		if i == 4000 {
			n = change
		}
		fmt.Fprintf(&b, `["%x%d","%x.example","/%x/%x/","idempotent",%d,3000,1,"svc",null,3,null],`, r.IntN(1<<20), i, r.IntN(1<<20), r.IntN(1<<20), r.IntN(256), n)
	}
	return b.Bytes()
}

func TestChangeOfOneLineIsSmall(t *testing.T) {
	var h History
	h = h.With(document8000(1))
	row := karpithaz.Row{Key: "doc", Version: 7, Value: document8000(2)}
	data, err := Encode(Changes{Version: 7, Rows: []karpithaz.Row{row}}, "doc", h.Newest())
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1000, "%d bytes for a document of %d", len(data), len(row.Value))
	got, err := Decode(data, h.Newest())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, Changes{Version: 7, Rows: []karpithaz.Row{row}})
	_, err = Decode(data, nil)
	assert.ErrorContains(t, err, "not asked for")
	other := Value{Digest: h.Newest().Digest, Data: []byte("something else")}
	_, err = Decode(data, &other)
	assert.Assert(t, err != nil)
}

// Any changes are the same after the way, with and without a former value, and whatever is cut
// off or added is an error.
func TestChangesComeBackTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOf(rapid.Byte())
		rows := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) karpithaz.Row {
			r := karpithaz.Row{Table: "op", Key: rapid.SampledFrom([]string{"doc", "other"}).Draw(t, "key"), Version: rapid.Uint64().Draw(t, "version"), Removed: rapid.Bool().Draw(t, "removed")}
			if v := value.Draw(t, "value"); len(v) > 0 && !r.Removed {
				r.Value = v
			}
			return r
		}), 0, 4).Draw(t, "rows")
		var base *Value
		if rapid.Bool().Draw(t, "based") {
			former := value.Draw(t, "former")
			base = &Value{docdelta.Digest(former), former}
		}
		in := Changes{Full: rapid.Bool().Draw(t, "full"), Version: rapid.Uint64().Draw(t, "version"), Rows: rows}
		data, err := Encode(in, "doc", base)
		assert.NilError(t, err)
		out, err := Decode(data, base)
		assert.NilError(t, err)
		assert.DeepEqual(t, out, in)
		if _, frame, _ := bytes.Cut(data, []byte{'\n'}); len(frame) > 0 {
			_, err = Decode(data[:len(data)-1], base)
			assert.Assert(t, err != nil)
		}
	})
}

func FuzzDecode(f *testing.F) {
	base := Value{docdelta.Digest([]byte("former")), []byte("former")}
	data, err := Encode(Changes{Version: 1, Rows: []karpithaz.Row{{Key: "doc", Value: []byte("former and more")}}}, "doc", &base)
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		Decode(data, &base) //nolint:errcheck // must not panic
	})
}

func TestHistoryKeepsTheLatestValues(t *testing.T) {
	var h History
	assert.Assert(t, h.Newest() == nil)
	for i := range 10 {
		h = h.With([]byte(fmt.Sprint(i)))
		h = h.With([]byte(fmt.Sprint(i)))
		h = h.With(nil)
	}
	assert.Equal(t, len(h), 1+maxFormer)
	assert.Equal(t, string(h.Newest().Data), "9")
	assert.Equal(t, string(h.Find(docdelta.Digest([]byte("6"))).Data), "6")
	assert.Assert(t, h.Find(docdelta.Digest([]byte("1"))) == nil)
}
