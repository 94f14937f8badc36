package change_test

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"trefoilthread/core/config"
	"trefoilthread/io/change"
)

const sample = `
# Tiram Raya
[service "bookings"]
version = 17
dataCentres = penang-north, kl-sentral
slots = 12
connections = 250

[rule "bookings" "GET" "/menu/[a];=.x*"]
urgent = true
runs = idempotent
deadline = 80ms
worth = 2.5

[service "stockroom"]
dataCentres = johor-south
slots = 15
connections = 200
[rule "stockroom" "*" "*"]
[rule "bookings" "POST" "/deposits"]
`

// Guards against values or an order of rules that get lost, and against a get
// and apply that changes something.
func TestParseAndFormat(t *testing.T) {
	is := is.New(t)
	services, err := change.Parse("sample.ini", []byte(strings.ReplaceAll("\ufeff"+sample, "\n", "\r\n")))
	is.NoErr(err)
	is.Equal(len(services), 2)
	is.Equal(services[0].Version(), int64(17))
	is.Equal(services[0].Rules()[0].Path(), "/menu/[a];=.x*")
	is.Equal(services[0].Rules()[1].Spec(), config.NewRule(config.RuleSpec{
		Method: "POST", Path: "/deposits", Runs: 1, Deadline: config.DefaultRule().Deadline(), Worth: 1,
	}).Spec())
	text, err := change.Format(services)
	is.NoErr(err)
	again, err := change.Parse("again.ini", text)
	is.NoErr(err)
	is.Equal(again, services)
	twice, err := change.Format(again)
	is.NoErr(err)
	is.Equal(string(twice), string(text))
}

// Guards against errors without position, and against files that have to be
// repaired one error at a time.
func TestErrorsGolden(t *testing.T) {
	is := is.New(t)
	ar, err := txtar.ParseFile("testdata/errors.txtar")
	is.NoErr(err)
	is.Equal(len(ar.Files), 2)
	_, err = change.Parse(ar.Files[0].Name, ar.Files[0].Data)
	is.True(err != nil)
	is.Equal(err.Error()+"\n", string(ar.Files[1].Data))
}

// Guards against a parser that panics, positions outside the file, and files
// that are read differently after they are written.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	ar, err := txtar.ParseFile("testdata/errors.txtar")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(ar.Files[0].Data))
	f.Add("[DEFAULT]\na=b\n[service \"a\"]\n-=1\nslots=`\n[rule\"a\"\"GET\"\"/\"]")
	f.Fuzz(func(t *testing.T, data string) {
		services, err := change.Parse("f.ini", []byte(data))
		var list *change.Errors
		if errors.As(err, &list) {
			for _, e := range list.All() {
				if e.Line() < 1 || e.Line() > strings.Count(data, "\n")+1 || e.Allowed() == "" {
					t.Fatalf("bad position: %v", e)
				}
			}
			return
		}
		text, err := change.Format(services)
		if err != nil {
			t.Fatal(err)
		}
		again, err := change.Parse("f.ini", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if !reflect.DeepEqual(again, services) {
			t.Fatalf("read back differently:\n%s", text)
		}
		for _, s := range services {
			if math.IsNaN(s.RetryShare()) {
				t.Fatal("no number as a share")
			}
		}
	})
}
