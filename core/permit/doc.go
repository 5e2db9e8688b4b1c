// Package permit gives out the permits to send requests to an upstream that has named a limit.
//
// The entry that owns the limit has one queue for it. Asks that can't have a permit at once wait in the order of their urgency,
// as long as their requests can be in time.
package permit
