package main

import (
	"math"
	"time"

	"trefoilthread/core/config"
	"trefoilthread/core/types"
	"trefoilthread/io/opspb"
)

// toProto returns a service as it is sent to a daemon.
func toProto(s config.Service) *opspb.Service {
	p := &opspb.Service{
		Name: string(s.Name()), Slots: int32(s.Slots()), Connections: int32(s.Connections()),
		ProbeBudgetMs: float64(s.ProbeBudget()) / float64(time.Millisecond),
		RetryShare:    s.RetryShare(), HedgeShare: s.HedgeShare(), MaxBodyBytes: s.MaxBodyBytes(), Version: s.Version(),
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

// fromProto returns a service as a daemon sent it. A class that this program
// does not know becomes the safer one, at most once.
func fromProto(p *opspb.Service) config.Service {
	s := config.ServiceSpec{
		Name: types.ServiceName(p.GetName()), Slots: int(p.GetSlots()), Connections: int(p.GetConnections()),
		ProbeBudget: time.Duration(math.Round(p.GetProbeBudgetMs() * float64(time.Millisecond))),
		RetryShare:  p.GetRetryShare(), HedgeShare: p.GetHedgeShare(), MaxBodyBytes: p.GetMaxBodyBytes(), Version: p.GetVersion(),
	}
	for _, dc := range p.GetDataCentres() {
		s.DataCentres = append(s.DataCentres, types.DataCentre(dc))
	}
	for _, r := range p.GetRules() {
		runs, ok := types.ParseRuns(r.GetRuns())
		if !ok {
			runs = types.AtMostOnce
		}
		s.Rules = append(s.Rules, config.NewRule(config.RuleSpec{
			Method: r.GetMethod(), Path: r.GetPath(), Urgent: r.GetUrgent(), Runs: runs,
			Deadline: time.Duration(r.GetDeadlineMs()) * time.Millisecond, Worth: r.GetWorth(),
		}))
	}
	return config.NewService(s)
}
