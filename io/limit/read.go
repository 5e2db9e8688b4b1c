package limit

import (
	"io"
	"strconv"
)

// TooLarge reports a response body larger than a limit.
type TooLarge struct {
	Limit int64 // Bytes.
}

// Error returns a text with the limit.
func (e *TooLarge) Error() string {
	return "response body exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ReadAll reads r to its end; its error is a *TooLarge if that is more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &TooLarge{Limit: limit}
	}
	return data, err
}
