package catkinspindle

import (
	"cmp"
	"fmt"
	"log/slog"
)

// Position is a point in the history of the platform's store. A store that has been
// restored from a copy begins a new era and gives revisions of the era before out
// again, so that revisions compare within one era only.
type Position struct {
	Era      int64 `cbor:"1,keyasint,omitempty"`
	Revision int64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 when p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// String returns era and revision, such as "2/1734".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }
