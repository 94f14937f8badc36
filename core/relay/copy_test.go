package relay_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"trefoilthread/core/relay"
)

func put(key string, rev int64) relay.Item {
	return relay.Item{Key: key, Value: fmt.Appendf(nil, "%s@%d", key, rev), Revision: rev}
}

func gone(key string, rev int64) relay.Item {
	return relay.Item{Key: key, Revision: rev, Deleted: true}
}

// Guards against an old state of a key that replaces a later one, and against
// news that are reported twice.
func TestOnlyLaterStatesCount(t *testing.T) {
	is := is.New(t)
	c := relay.NewCopy()
	is.Equal(len(c.Replace([]relay.Item{put("a", 3), put("b", 9)}, 7)), 2)
	is.Equal(c.Revision(), int64(7))
	is.Equal(len(c.Apply([]relay.Item{put("a", 3), gone("b", 8)}, 9)), 0)
	is.True(c.Has("b"))
	is.Equal(c.Apply([]relay.Item{gone("b", 12), put("a", 11)}, 12), []relay.Item{put("a", 11), gone("b", 12)})
	is.True(!c.Has("b"))
}

// Guards against keys that stay although a whole listing lacks them, and
// against an old listing that removes what was made since.
func TestListing(t *testing.T) {
	is := is.New(t)
	c := relay.NewCopy()
	c.Apply([]relay.Item{put("a", 5), put("b", 6)}, 6)
	is.Equal(c.Replace([]relay.Item{put("a", 5)}, 9), []relay.Item{gone("b", 9)})
	is.Equal(len(c.Replace(nil, 4)), 0)
	is.True(c.Has("a"))
	is.Equal(c.Revision(), int64(9))
}

// Guards against a copy that lacks changes after it was brought up to date from
// another copy: both hold the same keys then, however far behind it was and
// whatever the other has forgotten of deleted keys.
func TestCopyFollowsCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		from, to := relay.NewCopy(), relay.NewCopy()
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		live := map[string]int64{}
		for rev := int64(1); rev < 40; rev++ {
			key := keys.Draw(t, "key")
			if _, ok := live[key]; ok && rapid.Bool().Draw(t, "delete") {
				from.Apply([]relay.Item{gone(key, rev)}, rev)
				delete(live, key)
			} else {
				from.Apply([]relay.Item{put(key, rev)}, rev)
				live[key] = rev
			}
			if rapid.IntRange(0, 3).Draw(t, "sync") > 0 {
				continue
			}
			items, whole := from.Since(to.Revision())
			if whole {
				to.Replace(items, from.Revision())
			} else {
				to.Apply(items, from.Revision())
			}
			for _, k := range []string{"a", "b", "c", "d"} {
				_, want := live[k]
				is.Equal(to.Has(k), want)
			}
		}
	})
}

// Guards against keys that stay known for ever, because the copy that is asked began with a
// listing of after their deletion.
func TestDeletedBeforeTheListing(t *testing.T) {
	is := is.New(t)
	c, late := relay.NewCopy(), relay.NewCopy()
	late.Apply([]relay.Item{put("a", 5), put("b", 6)}, 6)
	c.Replace([]relay.Item{put("a", 5)}, 9) // b was deleted at 8
	items, whole := c.Since(late.Revision())
	is.True(whole)
	is.Equal(late.Replace(items, c.Revision()), []relay.Item{gone("b", 9)})
	_, whole = c.Since(late.Revision())
	is.True(!whole)
}

// Guards against a copy that grows with each key that ever was, and against one
// that is behind the forgotten keys and keeps them.
func TestDeletedKeysAreForgotten(t *testing.T) {
	is := is.New(t)
	c, late := relay.NewCopy(), relay.NewCopy()
	late.Apply([]relay.Item{put("n1", 1)}, 1)
	rev := int64(0)
	for i := range 2000 {
		key := fmt.Sprintf("n%d", i+1)
		c.Apply([]relay.Item{put(key, rev+1), gone(key, rev+2)}, rev+2)
		rev += 2
	}
	items, whole := c.Since(late.Revision())
	is.True(whole)
	is.Equal(len(items), 0)
	is.Equal(late.Replace(items, c.Revision()), []relay.Item{gone("n1", rev)})
	items, whole = c.Since(rev - 200)
	is.True(!whole && len(items) == 100)
}

// Guards against a copy that tells only changes of after a listing to one from before it, once
// it has forgotten earlier deletions: that one would keep keys that were deleted before the
// listing and were never known here.
func TestForgettingKeepsTheListing(t *testing.T) {
	is := is.New(t)
	c := relay.NewCopy()
	rev := int64(0)
	for range 512 {
		rev++
		c.Apply([]relay.Item{gone(fmt.Sprint("k", rev), rev)}, rev)
	}
	c.Replace([]relay.Item{put("a", 1000)}, 2000)
	c.Apply([]relay.Item{gone("z", 2001)}, 2001) // one too many
	_, whole := c.Since(1500)
	is.True(whole)
}
