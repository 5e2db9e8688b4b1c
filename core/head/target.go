package head

import (
	"bytes"
	"net/netip"
	"strings"
)

// scheme is the only scheme of absolute targets that are accepted, since callers' connections aren't encrypted.
const scheme = "http://"

// maxPortDigits is the number of digits of the largest port.
const maxPortDigits = 5

// Origin returns the origin form (path and query) of a target that a Scanner has accepted.
func Origin(target string) string {
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	rest := target[len(scheme):]
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// Path returns the path of a target that a Scanner has accepted, exactly as it was sent.
func Path(target string) string {
	p, _, _ := strings.Cut(Origin(target), "?")
	return p
}

// authorityOf returns the authority of an absolute target and what follows it; ok is false for targets of other forms.
func authorityOf(target []byte) (authority, rest []byte, ok bool) {
	if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
		return nil, target, false
	}
	target = target[len(scheme):]
	if i := bytes.IndexAny(target, "/?"); i >= 0 {
		return target[:i], target[i:], true
	}
	return target, nil, true
}

// checkTarget checks the syntax of a request's target.
func checkTarget(method, target []byte) error {
	if string(method) == "OPTIONS" && string(target) == "*" {
		return nil
	}
	authority, rest, isAbsolute := authorityOf(target)
	switch {
	case string(method) == "CONNECT":
		return bad("CONNECT isn't served")
	case isAbsolute && !isAuthority(authority):
		return bad("invalid authority in the target")
	case !isAbsolute && (len(target) == 0 || target[0] != '/'):
		return bad("target in neither origin nor absolute form")
	}
	p, q, _ := bytes.Cut(rest, []byte{'?'})
	for i := 0; i < len(p); i++ {
		if p[i] == '%' {
			if i+2 >= len(p) || !isHex(p[i+1]) || !isHex(p[i+2]) {
				return bad("invalid percent encoding in the path")
			}
			i += 2
			continue
		}
		if classes[p[i]]&path == 0 {
			return bad("invalid character in the path")
		}
	}
	if !only(q, query) {
		return bad("invalid character in the query")
	}
	return nil
}

func isHex(b byte) bool {
	_, ok := hexValue(b)
	return ok
}

// isAuthority reports whether data is a host, which isn't empty, with an optional port. Percent-encoded names are excluded,
// since no DNS name needs them.
func isAuthority(data []byte) bool {
	host, port := data, []byte(nil)
	if len(data) > 0 && data[0] == '[' {
		end := bytes.IndexByte(data, ']')
		if end < 0 {
			return false
		}
		addr, err := netip.ParseAddr(string(data[1:end]))
		if err != nil || !addr.Is6() || addr.Zone() != "" {
			return false
		}
		port = data[end+1:]
	} else {
		if i := bytes.IndexByte(data, ':'); i >= 0 {
			host, port = data[:i], data[i:]
		}
		if len(host) == 0 || !only(host, hostly) {
			return false
		}
	}
	if len(port) == 0 {
		return true
	}
	if port[0] != ':' || len(port) > 1+maxPortDigits {
		return false
	}
	for _, b := range port[1:] {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}
