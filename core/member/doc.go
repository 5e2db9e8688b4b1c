// Package member tracks the membership of the platform's upstream list.
package member
