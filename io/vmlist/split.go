package vmlist

import "bytes"

// NoList reports a document that is not a JSON array.
type NoList struct{}

// Error returns a fixed text.
func (*NoList) Error() string {
	return "not a JSON array"
}

// split returns the elements of a JSON array. It checks nothing inside of them, so that one element that can't be decoded, such
// as one that is nested too deeply, doesn't hide the others; its error is a *NoList.
func split(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, &NoList{}
	}
	data = data[1 : len(data)-1]
	var elements [][]byte
	depth, start, inString, isEscaped := 0, 0, false, false
	for i, b := range data {
		switch {
		case isEscaped:
			isEscaped = false
		case inString:
			isEscaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 0:
			elements, start = append(elements, data[start:i]), i+1
		}
	}
	if rest := bytes.TrimSpace(data[start:]); len(rest) > 0 || len(elements) > 0 {
		elements = append(elements, rest)
	}
	return elements, nil
}
