package store

import (
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/etcd"
)

type lease struct {
	ttl     int64 // seconds
	expires time.Time
}

func (s *Store) grant(r etcd.GrantRequest) etcd.GrantResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: r.TTL, expires: s.now().Add(time.Duration(r.TTL) * time.Second)}
	return etcd.GrantResponse{ID: s.lastLease, TTL: r.TTL}
}

func (s *Store) keepAlive(r etcd.KeepAliveRequest) etcd.KeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[r.ID]
	if !ok {
		return etcd.KeepAliveResponse{Result: etcd.GrantResponse{ID: r.ID}}
	}
	l.expires = s.now().Add(time.Duration(l.ttl) * time.Second)
	return etcd.KeepAliveResponse{Result: etcd.GrantResponse{ID: r.ID, TTL: l.ttl}}
}

// expire deletes expired leases with their keys. It must be called with the lock held.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, kv := range s.entries {
			if kv.Lease == id {
				delete(s.entries, key)
				s.revision++
			}
		}
	}
}

// leaseExists reports whether a lease exists; ID 0 stands for no lease.
func (s *Store) leaseExists(id int64) bool {
	return id == 0 || s.leases[id] != nil
}
