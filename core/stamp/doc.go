// Package stamp orders the changes of a store that may fall back to an older copy of itself.
//
// The store counts its falls in an era. Its revisions go back with it and are given out again, so a revision only has a
// meaning together with its era. A stamp is one number that holds both and rises over eras, so that it can take the
// place of a revision: as the version of a change, as the position of a watch and as a fencing token. Where the store
// states no era, a stamp equals the revision.
package stamp
