// Package follow reads the keys below a prefix of the platform's store and watches them for changes.
package follow
