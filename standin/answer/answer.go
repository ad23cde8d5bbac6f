// Package answer computes the answers of the stand-in engine. An answer depends on every
// byte of the prompt, so that tests detect a wrong, mixed or truncated answer.
package answer

import (
	"fmt"
	"strings"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211

	minTokens = 8
	spread    = 504
)

// Answer is the FNV-1a digest of the prompt consumed so far. A prompt gives the same answer
// whether it is consumed in one piece or in several.
type Answer struct {
	sum uint64
}

// New returns the answer to an empty prompt. model includes the version, as in model@version.
func New(model, adapter string) Answer {
	return Answer{sum: fnvOffset}.Extend(model).Extend("/").Extend(adapter).Extend("/")
}

// Restore returns the answer whose digest is sum, as returned by Sum.
func Restore(sum uint64) Answer { return Answer{sum: sum} }

// Extend returns the answer after consuming text as the next part of the prompt.
func (a Answer) Extend(text string) Answer {
	h := a.sum
	for i := range len(text) {
		h ^= uint64(text[i])
		h *= fnvPrime
	}
	return Answer{sum: h}
}

// Sum returns the digest, from which Restore rebuilds the answer.
func (a Answer) Sum() uint64 { return a.sum }

// Len returns the number of tokens in the answer, which is at most limit.
func (a Answer) Len(limit int) int {
	return min(limit, minTokens+int(a.sum%spread))
}

// Token returns the text of the token at offset i.
func (a Answer) Token(i int) string {
	return fmt.Sprintf("%05x ", mix(a.sum+uint64(i)*mixStep)>>44)
}

const (
	mixStep = 0x9e3779b97f4a7c15
	mixA    = 0xbf58476d1ce4e5b9
	mixB    = 0x94d049bb133111eb
)

// mix is the output function (finalizer) of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * mixA
	z = (z ^ z>>27) * mixB
	return z ^ z>>31
}

// Text returns the concatenated tokens of the answer, at most limit of them.
func (a Answer) Text(limit int) string {
	var b strings.Builder
	for i := range a.Len(limit) {
		b.WriteString(a.Token(i))
	}
	return b.String()
}
