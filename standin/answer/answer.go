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

	minTokens   = 8
	lengthRange = 504
)

// Answer is the FNV-1a digest of the prompt consumed so far. A prompt gives the same answer
// whether it is consumed in one piece or in several.
type Answer struct {
	digest uint64
}

// New returns the answer to an empty prompt. model includes the version, as in model@version.
func New(model, adapter string) Answer {
	return Answer{digest: fnvOffset}.Append(model).Append("/").Append(adapter).Append("/")
}

// FromDigest returns the answer with the digest, as returned by Digest.
func FromDigest(digest uint64) Answer { return Answer{digest: digest} }

// Append returns the answer after consuming text as the next part of the prompt.
func (a Answer) Append(text string) Answer {
	digest := a.digest
	for i := range len(text) {
		digest ^= uint64(text[i])
		digest *= fnvPrime
	}
	return Answer{digest: digest}
}

// Digest returns the digest, from which FromDigest rebuilds the answer.
func (a Answer) Digest() uint64 { return a.digest }

// Len returns the number of tokens in the answer, which is at most limit.
func (a Answer) Len(limit int) int {
	return min(limit, minTokens+int(a.digest%lengthRange))
}

// Token returns the text of the token at offset i.
func (a Answer) Token(i int) string {
	return fmt.Sprintf("%05x ", mix(a.digest+uint64(i)*goldenGamma)>>44)
}

const (
	goldenGamma = 0x9e3779b97f4a7c15
	mixFactor1  = 0xbf58476d1ce4e5b9
	mixFactor2  = 0x94d049bb133111eb
)

// mix is the output function (finalizer) of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * mixFactor1
	z = (z ^ z>>27) * mixFactor2
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
