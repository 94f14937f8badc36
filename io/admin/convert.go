package admin

import (
	"math"
	"strconv"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
)

// FromProto returns the service of a request, and the values that config has
// no representation for. Those have a valid value in their place.
func FromProto(p *opspb.Service) (config.Service, []config.Problem) {
	var problems []config.Problem
	s := config.ServiceSpec{
		Name: types.ServiceName(p.GetName()), Slots: int(p.GetSlots()), Connections: int(p.GetConnections()),
		RetryShare: p.GetRetryShare(), HedgeShare: p.GetHedgeShare(), MaxBodyBytes: p.GetMaxBodyBytes(),
	}
	for _, dc := range p.GetDataCentres() {
		s.DataCentres = append(s.DataCentres, types.DataCentre(dc))
	}
	// The comparison is false for NaN.
	if ms := p.GetProbeBudgetMs(); ms >= 0 && ms <= millis(config.MaxProbeBudget) {
		s.ProbeBudget = time.Duration(math.Round(ms * float64(time.Millisecond)))
	} else {
		problems = append(problems, config.NewProblem(-1, "probeBudget",
			strconv.FormatFloat(ms, 'g', -1, 64)+" ms", "0s to "+config.MaxProbeBudget.String()))
	}
	for i, r := range p.GetRules() {
		spec := config.RuleSpec{
			Method: r.GetMethod(), Path: r.GetPath(), Urgent: r.GetUrgent(), Worth: r.GetWorth(), Deadline: config.MinDeadline,
		}
		var ok bool
		if spec.Runs, ok = types.ParseRuns(r.GetRuns()); !ok {
			// The safer one of the two.
			spec.Runs = types.AtMostOnce
			problems = append(problems, config.NewProblem(i, "runs", r.GetRuns(), "idempotent or atMostOnce"))
		}
		// A larger number of milliseconds could overflow a time.Duration.
		if ms := r.GetDeadlineMs(); ms >= 1 && ms <= config.MaxDeadline.Milliseconds() {
			spec.Deadline = time.Duration(ms) * time.Millisecond
		} else {
			problems = append(problems, config.NewProblem(i, "deadline",
				strconv.FormatInt(ms, 10)+" ms", "1ms to 10m in whole milliseconds"))
		}
		s.Rules = append(s.Rules, config.NewRule(spec))
	}
	return config.NewService(s), problems
}

// ToProto returns a service as operators send and receive it.
func ToProto(s config.Service) *opspb.Service {
	p := &opspb.Service{
		Name: string(s.Name()), Slots: int32(s.Slots()), Connections: int32(s.Connections()),
		ProbeBudgetMs: millis(s.ProbeBudget()), RetryShare: s.RetryShare(), HedgeShare: s.HedgeShare(),
		Version: s.Version(), MaxBodyBytes: s.MaxBodyBytes(),
	}
	for _, dc := range s.DataCentres() {
		p.DataCentres = append(p.DataCentres, string(dc))
	}
	for _, r := range s.Rules() {
		p.Rules = append(p.Rules, &opspb.RouteRule{
			Method: r.Method(), Path: r.Path(), Urgent: r.Class().Urgent(), Runs: r.Class().Runs().String(),
			DeadlineMs: r.Deadline().Milliseconds(), Worth: r.Worth(),
		})
	}
	return p
}

func entryToProto(e config.Entry) *opspb.AuditEntry {
	return &opspb.AuditEntry{
		Time: e.Time().Format(time.RFC3339Nano), Operator: e.Operator(), Address: e.Address(),
		RequestId: e.RequestID(), Service: string(e.Service()), Action: e.Action().String(),
		FromVersion: e.From(), ToVersion: e.To(), Diff: e.Diff(), Refused: e.Refused(),
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
