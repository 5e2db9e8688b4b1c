// Package call describes a caller's request as far as decisions need it.
package call
