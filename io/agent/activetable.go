package agent

import (
	"sync/atomic"

	"github.com/apex/log"

	"trefoilthread/core/vhost"
)

// activeTable holds the configuration in force. Its version only increases within one
// process.
type activeTable struct {
	log     log.Interface
	current atomic.Pointer[vhost.Table]
}

// get returns the configuration in force, nil before the first one.
func (t *activeTable) get() *vhost.Table { return t.current.Load() }

// version returns the version in force, 0 before the first one.
func (t *activeTable) version() int64 {
	if cur := t.current.Load(); cur != nil {
		return cur.Version()
	}
	return 0
}

// replaceIfNewer puts a configuration in force if its version is newer, and reports
// whether it did. source names the origin in the log.
func (t *activeTable) replaceIfNewer(next *vhost.Table, source string) bool {
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
