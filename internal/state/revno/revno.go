// Package revno combines a revision of the platform's store with the era in which it
// was given out. The store may come back from an older copy, after which it gives out
// revisions a second time, in the next era. A revision with its era stays unique and
// grows, so that everything that compares revisions goes on working.
package revno

const (
	// storeBits is the number of bits for the store's revision. At a million changes a
	// second they last for twelve days of one era; the era has the bits above.
	storeBits = 40

	// MaxEra is the largest era, so that a revision fits an int64.
	MaxEra = 1<<(63-storeBits) - 1
)

// Revision is a revision of the store with its era. Without eras it equals the store's.
type Revision uint64

// Of returns the Revision for a revision of the store in an era, at most MaxEra.
func Of(era uint64, inStore int64) Revision {
	return Revision(era<<storeBits | uint64(inStore)&(1<<storeBits-1))
}

// Era returns the era, 0 if the store has none.
func (r Revision) Era() uint64 {
	return uint64(r) >> storeBits
}

// InStore returns the store's own revision.
func (r Revision) InStore() int64 {
	return int64(r & (1<<storeBits - 1))
}
