// Package admin implements the client of an entry's administration interface.
package admin
