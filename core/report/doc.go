// Package report defines the response bodies of the administration interface.
package report
