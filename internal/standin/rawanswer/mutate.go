package rawanswer

import "math/rand/v2"

// bytesOfInterest replace or join others in mutated answers.
const bytesOfInterest = "\r\n\r\n\r\n \t:;=,\"\\\x00\x01\x7f\x80\xff0129aFgX-"

// maxMutations is the number of changes to one answer.
const maxMutations = 3

// Mutate returns an answer of the tables with a few random changes, often none. fields are
// further field lines, which may be changed too.
func Mutate(r *rand.Rand, fields string) []byte {
	tables := [][]Case{Sound, Broken}
	cases := tables[r.IntN(len(tables))]
	c := cases[r.IntN(len(cases))]
	f := Framings[r.IntN(len(Framings))]
	if c.Only != "" {
		f = c.Only
	}
	data := []byte(c.Bytes(f, fields))
	for range r.IntN(maxMutations + 1) {
		data = change(r, data)
	}
	return data
}

func change(r *rand.Rand, data []byte) []byte {
	at := r.IntN(len(data) + 1)
	end := min(at+1+r.IntN(8), len(data))
	before, piece, after := data[:at], data[at:end], data[end:]
	one := bytesOfInterest[r.IntN(len(bytesOfInterest))]
	var middle []byte
	switch r.IntN(5) {
	case 0: // insert
		middle = append([]byte{one}, piece...)
	case 1: // replace
		if middle = append(middle, piece...); len(middle) > 0 {
			middle[0] = one
		}
	case 2: // double
		middle = append(append(middle, piece...), piece...)
	case 3: // change a bit
		if middle = append(middle, piece...); len(middle) > 0 {
			middle[0] ^= 1 << r.IntN(8)
		}
	} // or leave out
	return append(append(append([]byte(nil), before...), middle...), after...)
}
