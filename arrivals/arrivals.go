// Package arrivals generates an open-loop workload from a seed: Poisson arrivals, with
// prompt lengths from a thousand to a million tokens.
package arrivals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// Mix is the composition of a workload. Shares are fractions of all requests.
type Mix struct {
	// Rate is the mean arrival rate in requests per second.
	Rate float64 `json:"rate"`
	// Duration is the time over which requests arrive.
	Duration time.Duration `json:"duration"`
	// LongShare is the share of prompts over LongPromptTokens tokens.
	LongShare float64 `json:"long-share"`
	// SharedPrefixShare is the share of prompts that begin with a shared prefix, of which
	// there are SharedPrefixes.
	SharedPrefixShare float64 `json:"series-share"`
	SharedPrefixes    int     `json:"series"`
	// ActionShare is the share of calls to a plain service.
	ActionShare float64 `json:"action-share"`
	// Workspaces is the number of workspaces. The first gets half of the load; the rest
	// is spread evenly over all of them.
	Workspaces int `json:"workspaces"`
}

// Prompt lengths in tokens. Short prompts have a log-normal distribution with the
// median medianTokens; logTokensSigma is the standard deviation of the logarithm.
const (
	MinPromptTokens  = 1_000
	LongPromptTokens = 100_000
	MaxPromptTokens  = 1_000_000

	medianTokens       = 3_000
	logTokensSigma     = 1.0
	sharedPrefixTokens = 32 << 10
	uniqueSuffixTokens = 500
)

// DefaultMix returns a mix of 20 requests per second, of which one in fifty is a prompt
// of over a hundred thousand tokens.
func DefaultMix() Mix {
	return Mix{
		Rate:              20,
		Duration:          30 * time.Second,
		LongShare:         0.02,
		SharedPrefixShare: 0.1,
		SharedPrefixes:    20,
		ActionShare:       0.05,
		Workspaces:        10,
	}
}

// Arrival is one request of a workload.
type Arrival struct {
	ID           int
	At           time.Duration
	PromptTokens int
	MaxTokens    int
	// Workspace is the index of the workspace.
	Workspace int
	// SharedPrefix is the index of the shared prefix of the prompt, or -1.
	SharedPrefix int
	Action       bool
	Timeout      time.Duration
}

// Generate returns the arrivals of a mix in order of time. The result depends only on mix
// and seed.
func Generate(mix Mix, seed uint64) []Arrival {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var list []Arrival
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / mix.Rate
		if at >= mix.Duration.Seconds() {
			return list
		}
		list = append(list, nextArrival(mix, rnd, len(list), time.Duration(at*float64(time.Second))))
	}
}

func nextArrival(mix Mix, rnd *rand.Rand, id int, at time.Duration) Arrival {
	a := Arrival{ID: id, At: at, SharedPrefix: -1, MaxTokens: 64 << rnd.IntN(4)}
	if rnd.Float64() >= 0.5 {
		a.Workspace = rnd.IntN(max(1, mix.Workspaces))
	}
	switch kind := rnd.Float64(); {
	case kind < mix.ActionShare:
		a.Action = true
	case kind < mix.ActionShare+mix.LongShare:
		a.PromptTokens = int(LongPromptTokens * math.Pow(MaxPromptTokens/LongPromptTokens, rnd.Float64()))
	case kind < mix.ActionShare+mix.LongShare+mix.SharedPrefixShare:
		a.SharedPrefix = rnd.IntN(mix.SharedPrefixes)
		a.PromptTokens = sharedPrefixTokens + uniqueSuffixTokens
	default:
		a.PromptTokens = randomShortLength(rnd)
	}
	a.Timeout = Timeout(a.PromptTokens)
	return a
}

func randomShortLength(rnd *rand.Rand) int {
	n := int(medianTokens * math.Exp(logTokensSigma*rnd.NormFloat64()))
	return min(max(n, MinPromptTokens), LongPromptTokens)
}

// Timeout returns how long a caller waits for the answer to a prompt with the given number of
// tokens.
func Timeout(tokens int) time.Duration {
	const base, perToken = 20 * time.Second, 60 * time.Microsecond
	return base + time.Duration(tokens)*perToken
}

var filler = strings.Repeat("the quick brown fox jumps over the lazy dog and ", 90_000)

// Prompt returns the text of the arrival's prompt.
func (a Arrival) Prompt() string {
	size := a.PromptTokens * catkinspindle.BytesPerToken
	title := fmt.Sprintf("request %d: ", a.ID)
	if a.SharedPrefix < 0 {
		return title + filler[:max(0, size-len(title))]
	}
	prefixTitle := fmt.Sprintf("series %d: ", a.SharedPrefix)
	prefix := prefixTitle + filler[:sharedPrefixTokens*catkinspindle.BytesPerToken-len(prefixTitle)]
	return prefix + title + filler[:max(0, size-len(prefix)-len(title))]
}
