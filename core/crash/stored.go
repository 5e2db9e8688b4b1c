package crash

import (
	"encoding/json"
	"time"

	"pimentoseam/core/digest"
)

// StoreKey is the key of the held requests in the store.
const StoreKey = "held"

// storedHold is the hold of a request as the store keeps it.
type storedHold struct {
	Request digest.Sum `json:"request"` // In hexadecimal.
	Strikes uint32     `json:"strikes"`
	Sure    uint32     `json:"sure"`
	Turn    uint32     `json:"turn"`
	Since   int64      `json:"since"`            // When the last trial failed, in Unix milliseconds.
	Lifted  bool       `json:"lifted,omitempty"` // An operator has cleared the request.
}

// BadHolds reports a stored value that can't be decoded.
type BadHolds struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadHolds) Error() string {
	return "held requests: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *BadHolds) Unwrap() error {
	return e.Cause
}

// EncodeHolds returns the JSON form in which the store keeps holds, and the requests that an operator has cleared.
func EncodeHolds(holds []Hold, lifted []digest.Sum) []byte {
	list := make([]storedHold, 0, len(holds)+len(lifted))
	for _, h := range holds {
		list = append(list, storedHold{Request: h.Request, Strikes: h.Strikes, Sure: h.Sure, Turn: h.Turn, Since: timeOf(h.Age).UnixMilli()})
	}
	for _, d := range lifted {
		list = append(list, storedHold{Request: d, Lifted: true, Since: time.Now().UnixMilli()})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return data
}

// ParseHolds decodes what EncodeHolds returned; no data stands for no holds, and the error is a *BadHolds.
func ParseHolds(data []byte) (holds []Hold, lifted []digest.Sum, err error) {
	if len(data) == 0 {
		return nil, nil, nil
	}
	var list []storedHold
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, nil, &BadHolds{Cause: err}
	}
	for _, s := range list {
		if s.Lifted {
			lifted = append(lifted, s.Request)
			continue
		}
		holds = append(holds, Hold{Request: s.Request, Strikes: s.Strikes, Sure: s.Sure, Turn: s.Turn, Age: ageOf(time.UnixMilli(s.Since))})
	}
	return holds, lifted, nil
}
