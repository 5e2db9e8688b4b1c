// Package call holds the fields of requests and answers that routing decisions use.
//
// The entries on the operations platform use it.
package call
