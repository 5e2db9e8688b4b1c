// Package limit reads responses whose size is limited.
package limit
