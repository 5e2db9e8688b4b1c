// Package span provides a duration that is encoded as text in JSON documents.
package span
