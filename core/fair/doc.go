// Package fair decides which organisations exceed their fair share of a service when its capacity is short.
//
// The entries on the operations platform use it; each counts only the requests that it gets itself. Requests beyond the
// share are refused first, so that those of other organisations find room.
package fair
