package fresh_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/fresh"
)

const bound = 5 * time.Second

// Guards against requests with a removed key that are accepted for longer than the bound, and
// against ones that are refused although the configuration is known well enough.
func TestLeft(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name  string
		bound time.Duration
		learn func(c *fresh.Clock)
		now   time.Duration
		left  time.Duration
		ok    bool
		lacks bool // an unknown key may have been added
	}{
		{"nothing known", bound, func(*fresh.Clock) {}, second, 0, false, true},
		{"no bound", 0, func(*fresh.Clock) {}, second, 0, true, false},
		{"recent", bound, func(c *fresh.Clock) { c.Learn(second) }, 2 * second, 4 * second, true, false},
		{"new keys may be missing", bound, func(c *fresh.Clock) { c.Learn(second) }, 4 * second, 2 * second, true, true},
		{"just before the margin", bound, func(c *fresh.Clock) { c.Learn(second) }, 5*second - 1, second + 1, true, true},
		{"at the margin", bound, func(c *fresh.Clock) { c.Learn(second) }, 5 * second, second, false, true},
		{"an earlier time proves nothing", bound, func(c *fresh.Clock) { c.Learn(2 * second); c.Learn(second) }, 3 * second, 4 * second, true, false},
		{"a time ahead", bound, func(c *fresh.Clock) { c.Learn(3 * second) }, second, bound, true, false},
		{"short bound", second, func(c *fresh.Clock) { c.Learn(second) }, second + 400*time.Millisecond, 600 * time.Millisecond, true, false},
		{"restored store", bound, func(c *fresh.Clock) { c.Learn(second); c.Forget() }, second, 0, false, true},
		{"read again after that", bound, func(c *fresh.Clock) { c.Forget(); c.Learn(second) }, second, bound, true, false},
		{"a document is still to be read", bound, func(c *fresh.Clock) {
			c.Learn(second)
			c.Want(7)
			c.Learn(5 * second)
		}, 5 * second, second, false, true},
		{"an earlier document was read", bound, func(c *fresh.Clock) {
			c.Learn(second)
			c.Want(7)
			c.Learn(5 * second)
			c.Applied(6)
		}, 5 * second, second, false, true},
		{"it was read", bound, func(c *fresh.Clock) {
			c.Learn(second)
			c.Want(7)
			c.Learn(5 * second)
			c.Applied(7)
		}, 6 * second, 4 * second, true, false},
		{"a later one is known by then", bound, func(c *fresh.Clock) {
			c.Learn(second)
			c.Want(7)
			c.Learn(4 * second)
			c.Want(8)
			c.Applied(7)
		}, 6 * second, 0, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := fresh.New(tc.bound)
			tc.learn(c)
			left, ok := c.Left(tc.now)
			is.Equal(ok, tc.ok)
			is.Equal(left, tc.left)
			is.Equal(c.MayLackKeys(tc.now), tc.lacks)
		})
	}
}
