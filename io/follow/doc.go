// Package follow keeps up with the keys below a prefix of the platform's store.
package follow
