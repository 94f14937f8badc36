package agent_test

import (
	"bytes"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"trefoilthread/core/relay"
	"trefoilthread/core/types"
	"trefoilthread/io/agent"
	"trefoilthread/io/enrol"
	"trefoilthread/io/logs"
)

// encodedRecord returns the key and value of an agent's record.
func encodedRecord(node string, service types.ServiceName) (key string, value []byte) {
	value, err := cbor.Marshal(enrol.Record{
		Boot: 1, Address: node + ":7000", DataCentre: "kl", Target: "t-" + node, Service: string(service),
		TargetAddress: node + ":8000", Slots: 12, Born: 7, State: uint8(types.Up),
	})
	if err != nil {
		panic(err)
	}
	return enrol.Key(node), value
}

// recordAt returns the record of an agent at an address, without a target.
func recordAt(node, addr string) relay.Item {
	value, err := cbor.Marshal(enrol.Record{Boot: 1, Address: addr, DataCentre: "kl", State: uint8(types.Down)})
	if err != nil {
		panic(err)
	}
	return relay.Item{Key: enrol.Key(node), Value: value, Revision: 1}
}

// oddRecord returns a valid record with one field replaced.
func oddRecord(is *is.I, field string, value any) []byte {
	is.Helper()
	_, valid := encodedRecord("odd", "bookings")
	fields := make(map[string]any)
	is.NoErr(cbor.Unmarshal(valid, &fields))
	fields[field] = value
	data, err := cbor.Marshal(fields)
	is.NoErr(err)
	return data
}

// Guards against an odd record of another writer that ends the agent, keeps it from learning
// the others, or makes it send calls to a target that doesn't exist.
func TestOddRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	var nested any = 1
	for range 30 {
		nested = []any{nested}
	}
	odd := [][]byte{
		nil, {0xff}, []byte("text"), bytes.Repeat([]byte{0x81}, 100_000), {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		oddRecord(is, "addr", "10.0.0.9:70000"), oddRecord(is, "addr", "10.0.0.9"), oddRecord(is, "addr", nested),
		oddRecord(is, "slots", -1), oddRecord(is, "slots", math.MaxInt64), oddRecord(is, "slots", uint64(math.MaxUint64)),
		oddRecord(is, "link", math.NaN()), oddRecord(is, "link", math.Inf(1)), oddRecord(is, "link", -5.0),
		oddRecord(is, "born", uint64(math.MaxUint64)), oddRecord(is, "tseq", uint64(math.MaxUint64)), oddRecord(is, "state", 9),
	}
	for i, value := range odd {
		a := agent.New(agent.Options{
			Settings: agent.Settings{Node: "self"}, Log: logs.Discard(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope,
		})
		key, valid := encodedRecord("n1", "bookings")
		oddKey, _ := encodedRecord("odd", "bookings")
		agent.ApplyItems(a, []relay.Item{{Key: oddKey, Value: value, Revision: 1}, {Key: key, Value: valid, Revision: 2}})
		recs := agent.Records(a)
		if len(recs) != 1 || recs[0].Node != "n1" {
			t.Errorf("odd record %d: %d records known, %+v", i, len(recs), recs)
		}
	}
}
