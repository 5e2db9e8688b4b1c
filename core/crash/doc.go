// Package crash tells requests that crash the upstreams which run them from those that only were there.
//
// Two requests are the same if their digests are. A request that was at several crashes since its last answer is tried
// alone: by one entry, at one upstream. If that crashes too, the request is held for some time, which grows each time.
//
// The entries on the operations platform use it, and those of package io/entry.
package crash
