// Package window keeps track of the windows whose usage must be recorded in the store and reported to the provider.
package window
