package store

import (
	"maps"

	"github.com/coriandershift/coriandershift/internal/protocol/etcd"
)

// Copy is the content of a Store at some time.
type Copy struct {
	entries  map[string]etcd.KeyValue
	leases   map[int64]lease
	revision int64
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := make(map[int64]lease, len(s.leases))
	for id, l := range s.leases {
		leases[id] = *l
	}
	return Copy{entries: maps.Clone(s.entries), leases: leases, revision: s.revision}
}

// Restore brings the store back from an earlier copy: what was written since is gone,
// and its revisions are given out again. The watches end, as in a restart.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.revision = maps.Clone(c.entries), c.revision
	s.leases = make(map[int64]*lease, len(c.leases))
	for id, l := range c.leases {
		s.leases[id] = &l
	}
	close(s.restored)
	s.restored = make(chan struct{})
}
