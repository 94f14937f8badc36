package agent

import (
	"sync/atomic"

	"github.com/apex/log"

	"trefoilthread/core/vhost"
)

// tables holds the configuration in force. It only moves forward within one
// process.
type tables struct {
	log     log.Interface
	current atomic.Pointer[vhost.Table]
}

// get returns the configuration in force, nil before the first one.
func (t *tables) get() *vhost.Table { return t.current.Load() }

// version returns the version in force, 0 before the first one.
func (t *tables) version() int64 {
	if cur := t.current.Load(); cur != nil {
		return cur.Version()
	}
	return 0
}

// offer takes a configuration over if it is newer.
func (t *tables) offer(next *vhost.Table, source string) bool {
	for {
		cur := t.current.Load()
		if cur != nil && next.Version() <= cur.Version() {
			return false
		}
		if !t.current.CompareAndSwap(cur, next) {
			continue
		}
		old := int64(0)
		if cur != nil {
			old = cur.Version()
		}
		t.log.WithFields(log.Fields{
			"version": next.Version(), "before": old, "routes": next.Len(), "source": source,
		}).Info("configuration in force")
		return true
	}
}
