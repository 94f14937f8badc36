package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/quota"
	"trefoilthread/core/types"
)

// look is what a daemon knows at a time, and whether it may grant tokens then.
type look struct {
	at, age    time.Duration
	add        bool // a daemon that goes before this one gets a record
	remove     bool // it loses it
	isRestart  bool // its record has been in the store for SettleTime
	isEntitled bool
}

// Guards against grants by a daemon that isn't the owner, or may not be, and against an
// owner that grants nothing although no other may.
func TestOwnerGrantsOnlyWhenNoOtherMay(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	steady := func(looks ...look) []look { // with knowledge every second up to the first look
		list := []look{{}}
		for at := s; at < looks[0].at; at += s {
			list = append(list, look{at: at, isEntitled: at >= 5500*ms})
		}
		return append(list, looks...)
	}
	for name, looks := range map[string][]look{
		"after its start":                     steady(look{at: 5400 * ms}, look{at: 5500 * ms, isEntitled: true}),
		"after a restart":                     {{isRestart: true}, {at: 200 * ms}, {at: 250 * ms, isEntitled: true}},
		"after a restart, then another owner": {{isRestart: true}, {at: s, add: true}, {at: 2 * s, remove: true}, {at: 7 * s}, {at: 7500 * ms, isEntitled: true}},
		"with old knowledge":                  steady(look{at: 7 * s, isEntitled: true}, look{at: 8 * s, age: 4900 * ms, isEntitled: true}, look{at: 8 * s, age: 5 * s}),
		"after a short gap":                   steady(look{at: 10 * s, age: 5 * s}, look{at: 12 * s}, look{at: 12300 * ms, isEntitled: true}),
		"after a long gap":                    steady(look{at: 10 * s, age: 5 * s}, look{at: 30 * s}, look{at: 35 * s}, look{at: 35600 * ms, isEntitled: true}),
		"after a gap not looked":              steady(look{at: 10 * s, isEntitled: true}, look{at: 15 * s}, look{at: 15300 * ms, isEntitled: true}),
		"after a long pause":                  steady(look{at: 10 * s, isEntitled: true}, look{at: 40 * s}, look{at: 41 * s}, look{at: 44 * s}, look{at: 46 * s, isEntitled: true}),
		"another owner": steady(
			look{at: 7 * s, add: true}, look{at: 8 * s, remove: true}, look{at: 11 * s}, look{at: 13400 * ms}, look{at: 13500 * ms, isEntitled: true},
		),
		"another owner, seen after a gap": steady(look{at: 10 * s, age: 5 * s}, look{at: 12 * s, add: true}, look{at: 13 * s}, look{at: 16 * s}),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := quota.NewDirectory([]types.DataCentre{"a"})
			d.Set("self", "a")
			others := firstBefore(d, "self")
			o := quota.NewOwner("self", "a", d)
			start := time.Unix(1e9, 0)
			o.SetLimits(start, map[types.CustomerName]quota.Limit{customer: {PerSecond: 1}})
			for _, l := range looks {
				if l.add {
					for _, name := range others {
						d.Set(name, "a")
					}
				}
				if l.remove {
					for _, name := range others {
						d.Remove(name)
					}
				}
				if l.isRestart {
					o.SetRestart(true)
				}
				now := start.Add(l.at)
				o.Observe(now, now, l.age)
				got := o.Grant(now, customer, 1)
				if got.Entitled != l.isEntitled {
					t.Errorf("at %s, age %s: %+v", l.at, l.age, got)
				}
			}
			is.Equal(o.Grant(start, "unknown", 1), quota.Grant{})
		})
	}
}

// firstBefore returns daemons that would own the customer in place of self.
func firstBefore(d *quota.Directory, self string) (names []string) {
	for i := 0; len(names) < 2; i++ {
		name := fmt.Sprint("other", i)
		d.Set(name, "a")
		if d.Owners(customer, "a")[0] != self {
			names = append(names, name)
		}
		d.Remove(name)
	}
	return names
}

// Guards against buckets that begin with tokens, collect more than their size or the rate,
// or keep tokens beyond a lowered quota; and against parts of a token that are lost.
func TestBucketFollowsTheQuota(t *testing.T) {
	is := is.New(t)
	d := quota.NewDirectory([]types.DataCentre{"a", "b"})
	d.Set("self", "a")
	o := quota.NewOwner("self", "a", d)
	now := time.Unix(1e9, 0)
	set := func(l quota.Limit) { o.SetLimits(now, map[types.CustomerName]quota.Limit{customer: l}) }
	after := func(d time.Duration, want int) quota.Grant {
		for end := now.Add(d); now.Before(end); now = now.Add(min(time.Second, end.Sub(now))) {
			o.Observe(now, now, 0)
		}
		o.Observe(now, now, 0)
		return o.Grant(now, customer, want)
	}
	set(quota.Limit{PerSecond: 0.5, Burst: 40})
	is.Equal(after(5500*time.Millisecond, 9), quota.Grant{Entitled: true, Wait: quota.MaxHint}) // starts empty
	for range 3 {
		is.Equal(after(time.Second, 9).Count, 0)
	}
	is.Equal(after(time.Second, 9).Count, 1) // a quarter of a token a second
	set(quota.Limit{PerSecond: 100, Burst: 40})
	is.Equal(after(100*time.Millisecond, 9).Count, 5)
	is.Equal(after(time.Hour, 99).Count, 25)
	after(time.Hour, 0)
	set(quota.Limit{PerSecond: 2})
	is.Equal(after(0, 99).Count, 5) // half of the smallest size of all buckets
	after(time.Hour, 0)
	o.Observe(now, now, quota.MaxAge)
	is.Equal(after(250*time.Millisecond, 99), quota.Grant{Entitled: true, Wait: quota.MaxHint}) // empty after a gap
	set(quota.Limit{})
	is.Equal(after(0, 99), quota.Grant{Entitled: true, Count: 99}) // no quota
	set(quota.Limit{PerSecond: 2})
	is.Equal(after(0, 99).Count, 0)
	is.Equal(o.Owned(), 1)
	o.SetLimits(now, nil)
	is.Equal(after(0, 1), quota.Grant{})
}

// Guards against tokens that are used after their time, be it that their answer came late,
// that their daemon was paused, or that they were put back.
func TestTokensExpire(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1e9, 0)
	in := func(d time.Duration) time.Time { return sent.Add(d) }
	a := quota.NewAsker()
	a.Granted(in(quota.Lifetime/2), sent, "o", quota.Grant{Entitled: true, Count: 3})
	tok, ok := a.Take(in(quota.Lifetime - 1))
	is.True(ok)
	a.Return(in(quota.Lifetime-1), tok)
	_, ok = a.Take(in(quota.Lifetime - 1))
	is.True(ok)
	_, ok = a.Take(in(quota.Lifetime))
	is.True(!ok) // one was left
	a.Return(in(quota.Lifetime), tok)
	_, ok = a.Take(in(0))
	is.True(!ok) // put back too late
	a.Granted(in(quota.Lifetime), sent, "o", quota.Grant{Entitled: true, Count: 3})
	_, ok = a.Take(in(0))
	is.True(!ok) // came too late
}

// Guards against a forecast that differs from what a request meets, and against one that
// takes a token.
func TestMayServeIsWhatARequestMeets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, silent, owners := quota.NewAsker(), quota.NewSilent(), []string{"n1"}
	is.True(!a.MayServe(now, nil, silent))   // no owner
	is.True(a.MayServe(now, owners, silent)) // it may be asked
	a.Granted(now, now, "n1", quota.Grant{Entitled: true, Wait: quota.MaxHint})
	is.True(!a.MayServe(now, owners, silent)) // out of tokens
	is.True(a.IsUsedUp(now, owners))
	a.Granted(now, now, "n1", quota.Grant{Entitled: true, Count: 1, Wait: quota.MaxHint})
	for range 3 {
		is.True(a.MayServe(now, owners, silent)) // a token is here
	}
	_, ok := a.Take(now)
	is.True(ok && !a.MayServe(now, owners, silent))
	silent.Note(now, "n1")
	is.True(!a.MayServe(now.Add(quota.MaxHint), owners, silent)) // the owner doesn't answer
}
