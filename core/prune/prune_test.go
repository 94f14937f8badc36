package prune_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/prune"
)

// play checks the table each second for d. Agents from lost on are silent and their
// probes fail. It returns when each record was deleted first.
func play(total, lost int, d time.Duration) map[string]time.Duration {
	t, start := prune.New(), time.Unix(1000, 0)
	deleted := make(map[string]time.Duration)
	for at := time.Duration(0); at < d; at += time.Second {
		now := start.Add(at)
		var contacts []prune.Contact
		for i := range total {
			c := prune.Contact{Name: fmt.Sprint(i)}
			if i < lost {
				c.Last = now
			}
			contacts = append(contacts, c)
		}
		for _, name := range t.Due(now, contacts) {
			if t.Failed(name) && deleted[name] == 0 {
				deleted[name] = at
			}
		}
	}
	return deleted
}

// Guards against records of lost agents that stay in the store, and against those of
// agents that are deleted after a pause of a few seconds.
func TestLostAgentsAreDeleted(t *testing.T) {
	is := is.New(t)
	is.Equal(len(play(10, 8, 14*time.Second)), 0)
	got := play(10, 8, 30*time.Second)
	is.Equal(len(got), 2)
	is.Equal(got["8"], 14*time.Second)
	is.Equal(got["9"], 14*time.Second)
}

// Guards against an agent that is cut off from the others and deletes their records.
func TestCutOffAgentDeletesNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(len(play(10, 4, time.Minute)), 0)
	is.Equal(len(play(10, 0, time.Minute)), 0)
}

// Guards against failed probes that are counted beyond a contact.
func TestContactEndsTheFailures(t *testing.T) {
	is := is.New(t)
	table, now := prune.New(), time.Unix(1000, 0)
	check := func(last time.Time) bool {
		contacts := []prune.Contact{{Name: "a", Last: last}, {Name: "b", Last: now}}
		isGone := false
		for _, name := range table.Due(now, contacts) {
			isGone = table.Failed(name) || isGone
		}
		return isGone
	}
	check(now)
	last := now
	for range 3 {
		now = now.Add(prune.Silence)
		is.True(!check(last))
		now = now.Add(2 * time.Second)
		is.True(!check(last))
		last = now
		is.True(!check(last))
	}
}

// Guards against probes of an agent in quick succession.
func TestProbesAreSpread(t *testing.T) {
	is := is.New(t)
	table, now := prune.New(), time.Unix(1000, 0)
	contacts := []prune.Contact{{Name: "a"}}
	is.Equal(len(table.Due(now, contacts)), 0)
	now = now.Add(prune.Silence)
	is.Equal(table.Due(now, contacts), []string{"a"})
	is.Equal(len(table.Due(now.Add(time.Second), contacts)), 0)
	is.Equal(table.Due(now.Add(2*time.Second), contacts), []string{"a"})
}
