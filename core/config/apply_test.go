package config_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
)

// Guards against a change that is applied twice after a lost answer, and
// against an id that hides a change which was never made.
func TestApplyRepeatedRequest(t *testing.T) {
	is := is.New(t)
	c := change(config.Create, newService("bookings", nil), 0, "r1")
	doc, first, err := config.Apply(config.Document{}, c, now)
	is.NoErr(err)
	is.Equal(first.Version(), int64(1))
	again, res, err := config.Apply(doc, c, now.Add(time.Hour))
	is.NoErr(err)
	is.True(res.Repeated())
	is.Equal(res.Version(), first.Version())
	is.Equal(res.Diff()[0], first.Diff()[0])
	is.Equal(again.Version(), doc.Version())

	var reused *config.Reused
	_, _, err = config.Apply(doc, change(config.Delete, newService("bookings", nil), 1, "r1"), now)
	is.True(errors.As(err, &reused))
	is.Equal(reused.Version(), int64(1))
}

// Guards against lost updates: a change that builds on an old version must
// not pass, also when the service was deleted and created again.
func TestApplyVersions(t *testing.T) {
	is := is.New(t)
	svc := newService("bookings", nil)
	wide := newService("bookings", func(s *config.ServiceSpec) { s.Slots = 15 })
	var doc config.Document
	step := func(c config.Change) (config.Result, error) {
		next, res, err := config.Apply(doc, c, now)
		doc = next
		return res, err
	}
	var conflict *config.Conflict
	var missing *config.Missing
	_, err := step(change(config.Update, svc, 0, "r0"))
	is.True(errors.As(err, &missing))
	_, err = step(change(config.Create, svc, 3, "r0"))
	is.True(errors.As(err, &conflict))
	_, err = step(change(config.Create, svc, 0, "r1"))
	is.NoErr(err)
	_, err = step(change(config.Create, wide, 0, "r2"))
	is.True(errors.As(err, &conflict)) // taken name
	is.Equal(conflict.Current(), int64(1))
	res, err := step(change(config.Update, svc, 1, "r3"))
	is.NoErr(err)
	is.Equal(res.State(), config.Unchanged)
	is.Equal(doc.Version(), int64(1))
	res, err = step(change(config.Update, wide, 1, "r4"))
	is.NoErr(err)
	is.Equal(res.Diff(), []string{"slots: 12 -> 15"})
	_, err = step(change(config.Update, svc, 1, "r5"))
	is.True(errors.As(err, &conflict))
	_, err = step(change(config.Delete, svc, 2, "r6"))
	is.NoErr(err)
	_, err = step(change(config.Create, svc, 0, "r7"))
	is.NoErr(err)
	_, err = step(change(config.Update, wide, 1, "r8"))
	is.True(errors.As(err, &conflict)) // version of the deleted service
	is.Equal(len(doc.Audit()), 4)      // refused and unchanged ones leave no entry
}

// Guards against a dry run that alters the document or uses up its id.
func TestApplyDryRun(t *testing.T) {
	is := is.New(t)
	dry := config.NewChange(config.ChangeSpec{Service: newService("bookings", nil), Operator: "aisyah", DryRun: true})
	doc, res, err := config.Apply(config.Document{}, dry, now)
	is.NoErr(err)
	is.Equal(res.State(), config.Valid)
	is.Equal(doc.Len(), 0)
	is.Equal(len(doc.Requests()), 0)
}

// Guards against operators who have to repair a change one error at a time,
// and against values that pass because NaN compares as false.
func TestApplyReportsAllProblems(t *testing.T) {
	is := is.New(t)
	bad := newService("Bookings", func(s *config.ServiceSpec) {
		s.DataCentres, s.Slots, s.Connections = nil, 0, -1
		s.ProbeBudget, s.RetryShare, s.HedgeShare = 2*time.Second, math.NaN(), 1.5
		s.MaxBodyBytes = 1<<30 + 1
		s.Rules = []config.Rule{
			config.NewRule(config.RuleSpec{Method: "*", Path: "/a*", Deadline: time.Second, Worth: math.Inf(1)}),
			config.NewRule(config.RuleSpec{Method: "get", Path: "a*b", Deadline: time.Hour, Worth: -1}),
			config.NewRule(config.RuleSpec{Method: "GET", Path: "/a/b", Deadline: time.Second, Runs: 7}),
		}
	})
	_, _, err := config.Apply(config.Document{}, change(config.Create, bad, 0, "r 1"), now)
	want := []string{
		"connections: \"-1\"", "dataCentres: \"0 data centres\"", "hedgeShare: \"1.5\"", "maxBodyBytes: \"1073741825\"",
		"name: \"Bookings\"", "probeBudget: \"2s\"", "requestId: \"r 1\"", "retryShare: \"NaN\"", "slots: \"0\"",
		"rules[0].worth: \"+Inf\"", "rules[1].deadline: \"1h0m0s\"", "rules[1].method: \"get\"", "rules[1].path: \"a*b\"",
		"rules[1].worth: \"-1\"", "rules[2]: \"GET /a/b\"", "rules[2].runs: \"7\"",
	}
	got := strings.Split(err.Error(), "\n")
	is.Equal(len(got), len(want))
	for i, w := range want {
		is.True(strings.HasPrefix(got[i], w+" is invalid, allowed: ")) // in order
	}
}

// Guards against history that grows until the document exceeds the store's
// limit.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	doc := newDocument(t, 2)
	is.Equal(len(doc.Audit()), config.MaxAudit)
	is.Equal(len(doc.Requests()), config.MaxRequests)
	is.Equal(doc.Audit()[config.MaxAudit-1].To(), doc.Version())
	var r config.Refusals
	for range config.MaxAudit + 1 {
		r = r.Add(change(config.Create, newService("x", nil), 0, "r"), errors.New(strings.Repeat("\xff", 1000)), now)
	}
	is.Equal(len(r.Entries()), config.MaxAudit)
	b, err := config.EncodeRefusals(r)
	is.NoErr(err)
	back, err := config.DecodeRefusals(b)
	is.NoErr(err)
	is.Equal(back.Entries()[0].Refused(), r.Entries()[0].Refused())
}

// Guards against a request that gets the class of another one, above all a
// deposit that may run twice because its path resembles a lookup.
func TestClassify(t *testing.T) {
	svc := newService("bookings", nil)
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/menu/today", "/menu/today"}, {"GET", "/menu/today?x=/../", "/menu/today"},
		{"GET", "/menu/todays", "/menu*"}, {"GET", "/menu", "/menu*"}, {"GET", "/menu/.well-known", "/menu*"},
		{"POST", "/deposits", "/deposits"}, {"POST", "/deposits/1", "*"}, {"PUT", "/status/3", "/status*"},
		{"POST", "/menu", "*"}, {"GET", "/menu/../deposits", "*"}, {"GET", "/menu/..;/deposits", "*"},
		{"GET", "/menu//x", "*"}, {"GET", "/menu/%2E%2e/deposits", "*"}, {"GET", "/menu%2fx", "*"}, {"GET", "/menu/.", "*"},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			is := is.New(t)
			r := svc.Classify(c.method, c.path)
			is.Equal(r.Path(), c.want)
			if c.want == "*" {
				is.Equal(r.Class().Runs(), types.AtMostOnce)
			}
		})
	}
}

// Guards against a document that comes back altered from the store, and
// against one beyond its limit.
func TestCodec(t *testing.T) {
	is := is.New(t)
	doc := newDocument(t, 3)
	b, err := config.Encode(doc)
	is.NoErr(err)
	back, err := config.Decode(b)
	is.NoErr(err)
	is.Equal(back, doc)
	for _, bad := range [][]byte{nil, b[:len(b)-1], {0xa1, 1, 2}, append(b, 0)} {
		_, err = config.Decode(bad)
		is.True(errors.Is(err, config.ErrMalformed))
	}
	_, err = config.Decode(make([]byte, config.MaxBytes+1))
	is.True(errors.Is(err, config.ErrTooLarge))
}

// Guards against a daemon that reverts to an older document.
func TestCurrentOnlyMovesForward(t *testing.T) {
	is := is.New(t)
	one, _, err := config.Apply(config.Document{}, change(config.Create, newService("bookings", nil), 0, "r1"), now)
	is.NoErr(err)
	cur := config.NewCurrent()
	is.True(cur.Offer(one))
	is.True(!cur.Offer(one))
	is.True(!cur.Offer(config.Document{}))
	is.Equal(cur.Version(), int64(1))
}

// Guards against a diff that hides a change of the rules.
func TestDiffRules(t *testing.T) {
	is := is.New(t)
	a := newService("bookings", nil)
	b := newService("bookings", func(s *config.ServiceSpec) {
		r := s.Rules
		r[0], r[2] = r[2], config.NewRule(config.RuleSpec{Method: "GET", Path: "/new", Deadline: time.Second})
	})
	is.Equal(config.Diff(a, b), []string{
		"rule GET /menu/today: removed (urgent, idempotent, deadline 80ms, worth 1.5)",
		"rule GET /new: added (idempotent, deadline 1s, worth 0)",
		"rules: order GET /menu*, POST /deposits, * /status* -> POST /deposits, GET /menu*, * /status*",
	})
}
