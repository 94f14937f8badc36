package mesh_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"trefoilthread/io/mesh"
)

const wireNews = 9

// oldNews is News as daemons know it that have no field for a refusal.
type oldNews struct {
	Whole    bool        `cbor:"1,keyasint,omitempty"`
	Items    []mesh.Item `cbor:"2,keyasint,omitempty"`
	Revision int64       `cbor:"3,keyasint,omitempty"`
	AgeMs    int64       `cbor:"4,keyasint,omitempty"`
	Lost     bool        `cbor:"5,keyasint,omitempty"`
}

// Guards against a query that can't be decoded and whose sender waits for its own time
// limit. A daemon that doesn't know refusals gets old news without items in its place, and
// none of a lost store: it would take that for an outage.
func TestUndecodableQueryIsAnswered(t *testing.T) {
	const tooOld = time.Minute // above every age at which a daemon reads the store itself
	for name, hello := range map[string]map[int]any{
		"version 0": {1: "old"}, "version 1": {1: "old", 5: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, addr := serveWith(t, mesh.ServerOptions{})
			nc := open(t, addr, wireOf(t, wireHello, 0, hello))
			write(t, nc, wire(wireQuery, 8, garbage))
			kind, call, payload, err := receiveNumbered(nc)
			if kind == wireWelcome {
				kind, call, payload, err = receiveNumbered(nc)
			}
			is.NoErr(err)
			is.Equal(kind, byte(wireNews))
			is.Equal(call, uint64(8))
			var news oldNews
			is.NoErr(cbor.Unmarshal(payload, &news))
			is.True(news.AgeMs >= tooOld.Milliseconds())
			news.AgeMs = 0
			is.Equal(news, oldNews{})
		})
	}
}

// Guards against a refusal of a query that its sender takes for news.
func TestRefusedQueryFails(t *testing.T) {
	is := is.New(t)
	addr := accept(t, func(nc net.Conn) {
		for {
			kind, call, _, err := receiveNumbered(nc)
			if err != nil {
				return
			}
			if kind == wireQuery { // an error shows in the query
				_, _ = nc.Write(wireOf(t, wireNews, call, map[int]any{4: 3_600_000, 6: "not understood"}))
			}
		}
	})
	c := client(t, mesh.ClientOptions{})
	_, err := c.Query(bounded(t), addr, &mesh.Query{Revision: 7})
	is.True(errors.Is(err, mesh.ErrRefused))
	is.Equal(err.Error(), addr+": not understood: "+mesh.ErrRefused.Error())
}

// Guards against news that can't be sent, such as text that the asking daemon's version can't
// decode: it waited for them until its own time limit.
func TestUnsendableNewsAreRefused(t *testing.T) {
	is := is.New(t)
	_, addr := serveWith(t, mesh.ServerOptions{Query: func(context.Context, mesh.Hello, *mesh.Query) *mesh.News {
		return &mesh.News{Items: []mesh.Item{{Key: rawText}}}
	}})
	nc := open(t, addr, wireOf(t, wireHello, 0, map[int]any{1: "old"}))
	write(t, nc, wireOf(t, wireQuery, 8, new(mesh.Query)))
	kind, call, payload, err := receiveNumbered(nc)
	is.NoErr(err)
	is.Equal(kind, byte(wireNews))
	is.Equal(call, uint64(8))
	var news mesh.News
	is.NoErr(cbor.Unmarshal(payload, &news)) // strict, as the old decoder was
	is.True(news.Refused != "")
	is.Equal(len(news.Items), 0)
}
