package enrol_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/prune"
	"trefoilthread/core/roster"
	"trefoilthread/io/enrol"
	"trefoilthread/io/logs"
	"trefoilthread/io/mesh"
	"trefoilthread/io/store"
)

// Guards against a record that is deleted though its agent answers, or at another revision
// than the one that was watched: a record that was written again would be lost.
func TestOnlyRecordsOfSilentAgentsAreDeleted(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	scope := tally.NewTestScope("", nil)
	peers := map[string]*enrol.Peer{}
	for i, name := range []string{"heard", "answers", "gone"} {
		peers[name] = &enrol.Peer{Record: roster.Record{Node: name, Sequence: uint64(7 + i)}, LastContact: clock.Now()}
	}
	var deleted []string
	c := enrol.NewCleaner(enrol.CleanerOptions{
		Clock: clock, Log: logs.Discard(), Scope: scope,
		Store: store.Store{Delete: func(_ context.Context, key string, rev int64) error {
			deleted = append(deleted, key)
			is.Equal(rev, int64(9))
			delete(peers, "gone")
			return nil
		}},
		Watched: func() (list []enrol.Peer) {
			for _, p := range peers {
				list = append(list, *p)
			}
			return list
		},
		Probe: func(_ context.Context, node string) error {
			is.True(clock.Since(peers[node].LastContact) >= prune.Silence)
			if node == "gone" {
				return mesh.ErrUnreachable
			}
			peers[node].LastContact = clock.Now()
			return nil
		},
	})
	for range 30 {
		clock.Advance(time.Second)
		peers["heard"].LastContact = clock.Now()
		c.Check(t.Context())
	}
	is.Equal(deleted, []string{enrol.Key("gone")})
	is.Equal(scope.Snapshot().Counters()["records_deleted+"].Value(), int64(1))
}
