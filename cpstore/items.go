package cpstore

import (
	"bytes"
	"context"
	"time"

	"github.com/clementineport/clementineport"
)

func (s *Store) get(key string) (clementineport.Item, error) {
	if err := s.Allow(OpGet); err != nil {
		return clementineport.Item{}, err
	}
	item, _ := s.read(key)
	return item, nil
}

// read returns a copy of an item and a channel that is closed when any item changes.
func (s *Store) read(key string) (clementineport.Item, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[key]
	item.Value = bytes.Clone(item.Value)
	return item, s.changed
}

func (s *Store) compareAndSwap(key string, expected uint64, value []byte) (uint64, error) {
	if err := s.Allow(OpCompareAndSwap); err != nil {
		return 0, err
	}
	if len(value) > s.opts.MaxValueBytes {
		return 0, clementineport.Fail(clementineport.FaultInvalid,
			"the value has %d bytes; at most %d are allowed", len(value), s.opts.MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.items[key].Version; have != expected {
		return 0, clementineport.Fail(clementineport.FaultConflict, "the version is %d, not %d", have, expected)
	}
	s.lastVersion++
	s.items[key] = clementineport.Item{Value: bytes.Clone(value), Version: s.lastVersion}
	s.notifyWatchers()
	return s.lastVersion, nil
}

// notifyWatchers wakes all watches. The caller must hold s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) watch(ctx context.Context, key string, seen uint64, wait time.Duration) (clementineport.Item, error) {
	if err := s.Allow(OpWatch); err != nil {
		return clementineport.Item{}, err
	}
	var expired <-chan time.Time
	for {
		item, changed := s.read(key)
		if item.Version != seen {
			return item, nil
		}
		if expired == nil {
			expired = s.opts.Clock.After(wait)
		}
		select {
		case <-changed:
		case <-expired:
			return item, nil
		case <-ctx.Done():
			return clementineport.Item{}, waitForCancel(ctx)
		}
	}
}

func (s *Store) acquire(key, holder string, ttl time.Duration) (clementineport.Lease, error) {
	if err := s.Allow(OpLease); err != nil {
		return clementineport.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	lease := s.leases[key]
	if lease.Holder != holder && lease.Expires.After(now) {
		return lease, clementineport.Fail(clementineport.FaultConflict, "the lease is held by %s", lease.Holder)
	}
	lease = clementineport.Lease{Holder: holder, Expires: now.Add(ttl)}
	s.leases[key] = lease
	return lease, nil
}

// Save returns a copy of the values of the store, without their versions and without leases.
func (s *Store) Save() Image {
	s.mu.Lock()
	defer s.mu.Unlock()
	image := Image{items: make(map[string][]byte, len(s.items))}
	for key, item := range s.items {
		image.items[key] = item.Value
	}
	return image
}

// Restore replaces the values of the store by those of an image. Each value gets a new version.
func (s *Store) Restore(image Image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = make(map[string]clementineport.Item, len(image.items))
	for key, value := range image.items {
		s.lastVersion++
		s.items[key] = clementineport.Item{Value: value, Version: s.lastVersion}
	}
	s.notifyWatchers()
}
