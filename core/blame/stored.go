package blame

import (
	"encoding/json"
	"strconv"
	"time"
)

// storedBlock is a block as the store keeps it.
type storedBlock struct {
	Parts []string `json:"parts"` // In hexadecimal.
	Since int64    `json:"since"` // Unix milliseconds.
}

// BadBlocks reports a stored value that can't be decoded.
type BadBlocks struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadBlocks) Error() string {
	return "blocked parts: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *BadBlocks) Unwrap() error {
	return e.Cause
}

// EncodeBlocks returns the JSON form in which the store keeps blocks.
func EncodeBlocks(blocks []Block) []byte {
	list := make([]storedBlock, len(blocks))
	for i, b := range blocks {
		list[i].Since = timeOf(b.Age).UnixMilli()
		for _, p := range b.Parts {
			list[i].Parts = append(list[i].Parts, p.String())
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// ParseBlocks decodes what EncodeBlocks returned; no data stands for no blocks, and the error is a *BadBlocks.
func ParseBlocks(data []byte) ([]Block, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var list []storedBlock
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, &BadBlocks{Cause: err}
	}
	blocks := make([]Block, len(list))
	for i, s := range list {
		blocks[i].Age = ageOf(time.UnixMilli(s.Since))
		for _, text := range s.Parts {
			p, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, &BadBlocks{Cause: err}
			}
			blocks[i].Parts = append(blocks[i].Parts, Part(p))
		}
	}
	return blocks, nil
}
