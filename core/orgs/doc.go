// Package orgs finds the organisation that holds an API key.
//
// The entries on the operations platform use it. It keeps no key, only digests of keys that are keyed with random bytes
// of the process.
package orgs
