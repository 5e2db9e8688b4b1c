// Package digest identifies requests by what makes two of them the same.
package digest
