package catkinspindle

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MinPrefixTokens is the length of the shortest prefix that engines cache, in tokens.
const MinPrefixTokens = 1024

// PrefixPath identifies a prompt prefix, as in the engines' lists of cached prefixes.
type PrefixPath struct {
	Tokens int
	Hash   uint64
}

// PrefixPaths returns the prefixes of prompt whose lengths in tokens are
// MinPrefixTokens times a power of two, shortest first.
func PrefixPaths(prompt string) []PrefixPath {
	var paths []PrefixPath
	digest := xxhash.New()
	done := 0
	for tokens := MinPrefixTokens; tokens*BytesPerToken <= len(prompt); tokens *= 2 {
		end := tokens * BytesPerToken
		_, _ = digest.WriteString(prompt[done:end])
		done = end
		paths = append(paths, PrefixPath{Tokens: tokens, Hash: digest.Sum64()})
	}
	return paths
}

// RendezvousScore returns the rendezvous hashing weight of node for key. The
// node with the highest score owns the key (Thaler and Ravishankar, 1998).
func RendezvousScore(key, node string) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(key))
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(node))
	return xxhash.Sum64(buf[:])
}
