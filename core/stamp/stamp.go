package stamp

// revisionBits is the number of bits of a stamp that hold the revision. At 3,200 writes a second they last for ten
// years; the other 23 bits hold the era.
const revisionBits = 40

// MaxEra is the largest era that fits into a stamp.
const MaxEra = 1<<(63-revisionBits) - 1

// Join returns the stamp of a revision in an era; that of revision 0, which stands for no change, is 0.
func Join(era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// Era returns the era of a stamp.
func Era(stamp int64) int64 {
	return stamp >> revisionBits
}

// Revision returns the revision of a stamp in its era.
func Revision(stamp int64) int64 {
	return stamp & (1<<revisionBits - 1)
}
