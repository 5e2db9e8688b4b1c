package head

// class is a set of classes of bytes.
type class uint8

// The classes of bytes (RFC 9110, section 5.6; RFC 3986, appendix A).
const (
	token  class = 1 << 0 // Method, field name, transfer coding.
	text   class = 1 << 1 // Field value: visible characters, space, tab and bytes above 127.
	path   class = 1 << 2 // Path of a target, without the percent sign.
	query  class = 1 << 3 // Query of a target.
	hostly class = 1 << 4 // Host name or IPv4 address.
)

// classes holds the classes of each byte. Paths may hold three characters and queries eight that RFC 3986 excludes, because
// browsers send them; no HTTP implementation gives them a meaning for routing. A backslash or '#' in a path may have one.
var classes = newClasses()

func newClasses() (t [256]class) {
	add := func(chars string, c class) {
		for i := range len(chars) {
			t[chars[i]] |= c
		}
	}
	const (
		alphanumeric = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		pathChars    = "-._~!$&'()*+,;=:@/" + "[]|"
	)
	add(alphanumeric, token|path|query|hostly)
	add("!#$%&'*+-.^_`|~", token)
	add(pathChars, path|query)
	add("?%"+"{}^`\\", query)
	add("-._~", hostly) // Internal names of services hold underscores.
	add("\t", text)
	for b := ' '; b <= 0xff; b++ {
		if b != 0x7f {
			t[b] |= text
		}
	}
	return t
}

// only reports whether all bytes are of a class.
func only(data []byte, c class) bool {
	for _, b := range data {
		if classes[b]&c == 0 {
			return false
		}
	}
	return true
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// trim returns data without spaces and tabs at both ends.
func trim(data []byte) []byte {
	for len(data) > 0 && (data[0] == ' ' || data[0] == '\t') {
		data = data[1:]
	}
	for len(data) > 0 && (data[len(data)-1] == ' ' || data[len(data)-1] == '\t') {
		data = data[:len(data)-1]
	}
	return data
}
