package agent_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/vhost"
	"trefoilthread/io/agent"
	"trefoilthread/io/logs"
	"trefoilthread/io/store"
)

// Guards against a long configuration that stays out of force because a stale read is
// older than the change that was heard of, and against reads at the full price where the
// stale one is enough.
func TestStaleReadOfALongConfiguration(t *testing.T) {
	const key, present = "config", 7
	for _, tc := range []struct {
		stale int64 // revision of the stale read; a version is the revision that it came with
		reads int   // at the full price
	}{{present, 0}, {5, 1}, {0, 1}} {
		is := is.New(t)
		reads := 0
		item := func(rev int64) store.Item {
			return store.Item{Key: key, Value: strconv.AppendInt(nil, rev, 10), Revision: rev}
		}
		a := agent.New(agent.Options{
			Settings: agent.Settings{Node: "self"}, Log: logs.Discard(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope,
			Wire: agent.Wire{TableKey: key, DecodeTable: func(value []byte) (*vhost.Table, error) {
				version, err := strconv.ParseInt(string(value), 10, 64)
				is.NoErr(err)
				return vhost.New(vhost.TableSpec{Version: version})
			}},
			Store: store.Store{
				List: func(_ context.Context, _ string, stale bool) ([]store.Item, int64, error) {
					is.True(stale)
					if tc.stale == 0 {
						return nil, 0, store.ErrUnavailable
					}
					return []store.Item{item(tc.stale)}, tc.stale, nil
				},
				Get: func(context.Context, string) (store.Item, error) {
					reads++
					return item(present), nil
				},
			},
		})
		is.Equal(agent.ReadLongTable(t.Context(), a, present), int64(present))
		is.Equal(reads, tc.reads)
	}
}
