package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// rejectScore is the CUSUM score at which a version is found bad. With it a good
	// version is rejected about once in exp(rejectScore) = 8,000 answers and test, and
	// a version that fails every answer after three of them. With 9 and no regard to
	// the duration, one of 600 played roll-outs of a good version was rolled back, one
	// of 60 s.
	rejectScore = 9.0
	// rejectDuration is the duration of a roll-out beyond which the score rises by
	// rejectSlope times its logarithm, so that more answers do not lead to more false
	// verdicts. With a slope of 1, one of 104 played good versions in 60 s was rejected.
	rejectDuration = 15 * time.Second
	rejectSlope    = 2
	// confirmScore replaces rejectScore once one target has been found bad: that another
	// one is bad by chance as well is less likely than that the version is.
	confirmScore = 5.0
	// slowFactor is the ratio to the old version's median latency above which an
	// answer is slow. A version counts as slow if it takes several times as long.
	slowFactor = 3.0
	// minReference is the number of latencies of the old version that a comparison
	// needs. Fewer give no usable median.
	minReference = 15
	// priorAnswers and priorShare are the weight and the value of the prior of the
	// old version's share of bad answers. Without it the first failure of a version
	// whose predecessor has had none would be conclusive.
	priorAnswers = 50
	priorShare   = 0.03
	// minRatio is the smallest ratio of bad shares that a test looks for.
	minRatio = 2.5
	// maxAlternative keeps the logarithms of the tests finite.
	maxAlternative = 0.97
)

// minBad is the number of bad answers that a verdict needs. Fewer may be chance where the
// old version has hardly any.
const minBad = 3

// alternatives are the shares of bad answers that the tests look for.
var alternatives = []float64{0.1, 0.25, 0.5, 0.9}

// Score holds a CUSUM score for each of the alternatives.
type Score [4]float64

// add adds good and bad answers where a share expected of bad ones is normal. The bad
// ones are added first, so that the order within a batch does not hide them.
func (s *Score) add(good, bad int, expected float64) {
	for i, alt := range alternatives {
		alt = min(max(alt, expected*minRatio), maxAlternative)
		if alt <= expected {
			continue
		}
		up := float64(bad) * min(math.Log(alt/expected), rejectScore/(minBad-0.5))
		down := float64(good) * math.Log((1-alt)/(1-expected))
		s[i] = max(0, s[i]+up+down)
	}
}

func (s Score) max() float64 { return slices.Max(s[:]) }

// Scores holds the scores of the tests for failures and for slow answers by route. The
// tests over all routes are under the name allRoutes.
type Scores struct {
	Failed map[string]Score `json:"f,omitempty"`
	Slow   map[string]Score `json:"s,omitempty"`
}

const allRoutes = ""

// expectedShare returns the share of bad answers to expect after what the old version
// has shown.
func expectedShare(answers, bad int) float64 {
	return min((float64(bad)+priorAnswers*priorShare)/(float64(answers)+priorAnswers), 0.9)
}

// evaluate updates the scores with a batch of answers of a host's target of the new version
// on a route.
func (s *State) evaluate(host, route string, batch Tally) {
	if s.Scores.Failed == nil {
		s.Scores = Scores{Failed: map[string]Score{}, Slow: map[string]Score{}}
	}
	// The share of bad answers that is normal differs between routes, and the new version
	// gets them in other proportions. The sum of the log-likelihood ratios over all routes
	// does not need the same share for all.
	old := s.Old[route]
	expected := expectedShare(old.Answers, old.Failed)
	update(s.Scores.Failed, route, batch.Answers, batch.Failed, expected)
	update(s.Scores.Failed, allRoutes, batch.Answers, batch.Failed, expected)
	s.addBad(host, batch.Failed)
	n := old.Latency.total()
	if n < minReference {
		return
	}
	limit := min(old.Latency.median()+int(math.Round(math.Log(slowFactor)/math.Log(histogramBase))), maxBucket)
	expected = expectedShare(n, old.Latency.above(limit))
	s.addBad(host, batch.Latency.above(limit))
	update(s.Scores.Slow, route, batch.Latency.total(), batch.Latency.above(limit), expected)
	update(s.Scores.Slow, allRoutes, batch.Latency.total(), batch.Latency.above(limit), expected)
}

// addBad counts the bad answers of a host's target since the scores were last reset.
func (s *State) addBad(host string, n int) {
	if n == 0 {
		return
	}
	if s.BadBy == nil {
		s.BadBy = map[string]int{}
	}
	s.BadBy[host] += n
}

// soleShare is the share of the bad answers above which one target accounts for them.
const soleShare = 0.9

// soleSuspect returns the host whose target alone accounts for the bad answers, or "".
func (s *State) soleSuspect() string {
	total, worst := 0, ""
	for host, n := range s.BadBy {
		total += n
		if worst == "" || n > s.BadBy[worst] || n == s.BadBy[worst] && host < worst {
			worst = host
		}
	}
	if worst != "" && float64(s.BadBy[worst]) >= soleShare*float64(total) {
		return worst
	}
	return ""
}

func update(scores map[string]Score, route string, answers, bad int, expected float64) {
	if answers == 0 {
		return
	}
	score := scores[route]
	score.add(answers-bad, bad, expected)
	scores[route] = score
}

// highestScore returns the highest score of all tests.
func (s *State) highestScore() float64 {
	worst := 0.0
	for _, scores := range []map[string]Score{s.Scores.Failed, s.Scores.Slow} {
		for _, score := range scores {
			worst = max(worst, score.max())
		}
	}
	return worst
}

// verdict returns why the new version is bad, or "" if nothing speaks against it.
func (s *State) verdict(duration time.Duration) string {
	limit := rejectScore + rejectSlope*math.Log(max(1, float64(duration)/float64(rejectDuration)))
	if len(s.Suspects) > 0 {
		limit = confirmScore
	}
	for _, test := range []struct {
		name   string
		scores map[string]Score
	}{{"failed answers", s.Scores.Failed}, {"slow answers", s.Scores.Slow}} {
		worst, at := 0.0, ""
		for route, score := range test.scores {
			if m := score.max(); m > worst || m == worst && route < at {
				worst, at = m, route
			}
		}
		if worst < limit {
			continue
		}
		if at == allRoutes {
			return fmt.Sprintf("%s over all routes (score %.1f)", test.name, worst)
		}
		return fmt.Sprintf("%s on route %s (score %.1f)", test.name, at, worst)
	}
	return ""
}
