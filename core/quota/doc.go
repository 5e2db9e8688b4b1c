// Package quota keeps the limits that upstreams name on the requests which they take from all entries together.
//
// For each limit one entry, its owner, gives out permits; the others ask it for one before each request. Entries tell
// each other the limits with their owners. An entry that knows of no owner, or gets no answers from it, claims the limit.
// Entries that claim at the same time, or that hear nothing of each other, agree as soon as they exchange limits, because all
// order them in the same way. Until then each gives out only the part of the limit that belongs to the entries within its
// reach.
package quota
