package operators

import (
	"io"
	"net/http"

	"github.com/catkinspindle/catkinspindle"
)

// readBody reads the request body and fails if it is longer than limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err != nil {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "body: %w", err)
	}
	return data, nil
}
