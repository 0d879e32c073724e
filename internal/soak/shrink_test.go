package soak

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// shrink returns a small part of the steps for which fails returns true, as it does
// for all of them. It leaves out halves first, then smaller parts. A failure that does
// not repeat every time makes the result larger than necessary.
func shrink(steps []int, fails func([]int) bool) []int {
	for size := (len(steps) + 1) / 2; size > 0; size /= 2 {
		for at := 0; at < len(steps); {
			rest := slices.Concat(steps[:at], steps[min(at+size, len(steps)):])
			if fails(rest) {
				steps = rest
			} else {
				at += size
			}
		}
	}
	return steps
}

func parseSteps(s string) ([]int, error) {
	if s == "" {
		return nil, nil
	}
	var steps []int
	for _, word := range strings.Split(s, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil {
			return nil, errors.Wrapf(err, "-soak.steps: %q is not a number; pass numbers from a printed schedule, such as 3,7", word)
		}
		steps = append(steps, n)
	}
	return steps, nil
}

func formatSteps(steps []int) string {
	words := make([]string, len(steps))
	for i, n := range steps {
		words[i] = strconv.Itoa(n)
	}
	return strings.Join(words, ",")
}

func TestShrinkKeepsWhatFails(t *testing.T) {
	all := []int{2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}
	for _, needed := range [][]int{{}, {2}, {14}, {5, 9}, {2, 3, 4}, {3, 8, 13, 14}} {
		runs := 0
		got := shrink(all, func(steps []int) bool {
			runs++
			return !slices.ContainsFunc(needed, func(n int) bool { return !slices.Contains(steps, n) })
		})
		assert.DeepEqual(t, append([]int{}, got...), append([]int{}, needed...))
		assert.Assert(t, runs <= 40, "%d runs", runs)
	}
}

func TestStepsAreParsedAsPrinted(t *testing.T) {
	steps, err := parseSteps(formatSteps([]int{2, 11, 30}))
	assert.NilError(t, err)
	assert.DeepEqual(t, steps, []int{2, 11, 30})
	steps, err = parseSteps("")
	assert.NilError(t, err)
	assert.Assert(t, steps == nil)
	_, err = parseSteps("3,x")
	assert.ErrorContains(t, err, "pass numbers")
}
