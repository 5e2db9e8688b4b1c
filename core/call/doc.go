// Package call holds the fields of requests and answers that routing decisions use.
package call
