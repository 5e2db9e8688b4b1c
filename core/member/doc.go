// Package member tracks the membership of the platform's upstream list.
//
// The entries and the agents on the operations platform use it.
package member
