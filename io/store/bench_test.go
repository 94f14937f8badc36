package store_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/etcd"
	"trefoilthread/io/stand"
)

// The time that the adapter and the stand-in add to a call, without the
// platform's response time.
func BenchmarkEtcd(b *testing.B) {
	is := is.New(b)
	srv := stand.NewStore(stand.StoreOptions{ResponseTime: -1})
	is.NoErr(srv.Start("127.0.0.1:0"))
	defer srv.Close()
	e, err := etcd.New([]string{"http://" + srv.Addr()}, etcd.Options{})
	is.NoErr(err)
	defer e.Close()
	st := e.Store()
	value := make([]byte, 1024)
	rev, err := st.CompareAndSwap(b.Context(), "a", 0, value, 0)
	is.NoErr(err)
	b.Run("get", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := st.Get(b.Context(), "a"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("swap", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if rev, err = st.CompareAndSwap(b.Context(), "a", rev, value, 0); err != nil {
				b.Fatal(err)
			}
		}
	})
}
