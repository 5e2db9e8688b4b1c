package frame

import (
	"github.com/fxamacker/cbor/v2"
)

const (
	maxNestedLevels  = 8
	maxMapPairs      = 64
	maxArrayElements = 1 << 16
)

// envelope is the encoded form of a Frame; exactly one field is set, which gives the frame's type.
type envelope struct {
	Run     *Run     `cbor:"1,keyasint,omitempty"`
	Control *Control `cbor:"2,keyasint,omitempty"`
	Part    *Part    `cbor:"3,keyasint,omitempty"`
	End     *End     `cbor:"4,keyasint,omitempty"`
	Beat    *Beat    `cbor:"5,keyasint,omitempty"`
}

// BadFrame reports bytes that can't be decoded as exactly one frame, or a frame that can't be encoded.
type BadFrame struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadFrame) Error() string {
	if e.Cause == nil {
		return "frame: not exactly one frame"
	}
	return "frame: " + e.Cause.Error()
}

// Unwrap returns the error of the CBOR library, or nil.
func (e *BadFrame) Unwrap() error {
	return e.Cause
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	opts := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	opts := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxMapPairs:      maxMapPairs,
		MaxArrayElements: maxArrayElements,
	}
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of f; its error is a *BadFrame.
func Encode(f Frame) ([]byte, error) {
	var e envelope
	switch m := f.(type) {
	case *Run:
		e.Run = m
	case *Control:
		e.Control = m
	case *Part:
		e.Part = m
	case *End:
		e.End = m
	case *Beat:
		e.Beat = m
	}
	data, err := encoder.Marshal(&e)
	if err != nil {
		return nil, &BadFrame{Cause: err}
	}
	return data, nil
}

// Decode decodes one frame; its error is a *BadFrame.
func Decode(data []byte) (Frame, error) {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return nil, &BadFrame{Cause: err}
	}
	var found Frame
	count := 0
	if e.Run != nil {
		found, count = e.Run, count+1
	}
	if e.Control != nil {
		found, count = e.Control, count+1
	}
	if e.Part != nil {
		found, count = e.Part, count+1
	}
	if e.End != nil {
		found, count = e.End, count+1
	}
	if e.Beat != nil {
		found, count = e.Beat, count+1
	}
	if count != 1 {
		return nil, &BadFrame{}
	}
	return found, nil
}
