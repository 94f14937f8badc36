package relay

import (
	"cmp"
	"slices"
)

// Item is one key of the store as it was at a revision.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // the store's revision of this state
	Deleted  bool
	// Packed means that Value is compressed.
	Packed bool
	// Omitted means that the value is too long to be told; it is in the store.
	Omitted bool
}

// maxDeleted bounds the deleted keys that a copy remembers. Who is behind by
// more gets all items.
const maxDeleted = 512

// Copy is what a daemon knows of the store's keys: all changes up to Revision,
// and possibly some later ones.
type Copy struct {
	items    map[string]Item
	deleted  int
	floor    int64 // deleted keys of this revision and before may be forgotten, or were never known
	revision int64
	latest   int64 // revision of the latest item
}

// NewCopy returns an empty copy of revision 0.
func NewCopy() *Copy { return &Copy{items: make(map[string]Item)} }

// Revision returns the revision up to which all changes are known.
func (c *Copy) Revision() int64 { return c.revision }

// Get returns the latest known state of a key, and false if none is known.
func (c *Copy) Get(key string) (Item, bool) {
	it, ok := c.items[key]
	return it, ok
}

// Has reports whether a key is known to exist.
func (c *Copy) Has(key string) bool {
	it, ok := c.items[key]
	return ok && !it.Deleted
}

// Apply takes the changes up to a revision, which must continue from Revision
// or before, and returns those that were news in order of their revisions.
func (c *Copy) Apply(changes []Item, revision int64) []Item {
	var news []Item
	for _, it := range changes {
		if c.set(it) {
			news = append(news, it)
		}
	}
	c.revision = max(c.revision, revision)
	c.prune()
	sortItems(news)
	return news
}

// Fill sets the value of an item that was omitted before.
func (c *Copy) Fill(it Item) { c.items[it.Key] = it }

// Replace takes a whole listing as of a revision and returns what changed by it,
// keys that are gone included. A listing older than the copy is ignored, but
// for single items that are newer.
func (c *Copy) Replace(listed []Item, revision int64) []Item {
	if revision >= c.revision {
		found := make(map[string]bool, len(listed))
		for _, it := range listed {
			found[it.Key] = true
		}
		for key, it := range c.items {
			if !found[key] && !it.Deleted && it.Revision <= revision {
				listed = append(listed, Item{Key: key, Revision: revision, Deleted: true})
			}
		}
		// Others may know keys that were deleted before the listing and were never known here.
		c.floor = revision
	}
	return c.Apply(listed, revision)
}

// Since returns what has changed after a revision. Whole means that these are
// all items, because some keys deleted since then are forgotten.
func (c *Copy) Since(revision int64) (items []Item, whole bool) {
	whole = revision < c.floor || revision == 0
	if !whole && revision >= c.latest {
		return nil, false
	}
	for _, it := range c.items {
		if whole && !it.Deleted || !whole && it.Revision > revision {
			items = append(items, it)
		}
	}
	sortItems(items)
	return items, whole
}

// set takes an item if it is newer than what is known of its key.
func (c *Copy) set(it Item) bool {
	old, ok := c.items[it.Key]
	if ok && it.Revision <= old.Revision {
		return false
	}
	if ok && old.Deleted {
		c.deleted--
	}
	if it.Deleted {
		c.deleted++
	}
	c.items[it.Key] = it
	c.latest = max(c.latest, it.Revision)
	return true
}

// prune forgets the earliest half of the deleted keys when there are too many.
func (c *Copy) prune() {
	if c.deleted <= maxDeleted {
		return
	}
	var gone []Item
	for _, it := range c.items {
		if it.Deleted {
			gone = append(gone, it)
		}
	}
	sortItems(gone)
	for _, it := range gone[:len(gone)/2] {
		c.floor = max(c.floor, it.Revision) // a listing may have set a later one
		delete(c.items, it.Key)
		c.deleted--
	}
}

func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
