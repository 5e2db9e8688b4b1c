package crash

import (
	"slices"

	"pimentoseam/core/digest"
)

// Attempt is a request that was at an upstream when that crashed.
type Attempt struct {
	Digests      []digest.Sum
	Tried        *digest.Sum // The digest that a trial there was of; nil for none.
	HasHeldParts bool        // Its prompt has parts that are held or blocked (package blame).
}

// Suspects returns the digests of the requests that a crash may be due to as a whole, and of the one that was tried, nil for none. If
// some prompts have held parts, the crash is due to these, and says nothing of the other requests.
func Suspects(attempts []Attempt) (requests []digest.Sum, tried *digest.Sum) {
	isDueToParts := slices.ContainsFunc(attempts, func(a Attempt) bool { return a.HasHeldParts })
	for _, a := range attempts {
		if isDueToParts && !a.HasHeldParts {
			continue
		}
		requests = append(requests, a.Digests...)
		if a.Tried != nil {
			tried = a.Tried
		}
	}
	return requests, tried
}
