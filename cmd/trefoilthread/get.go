package main

import (
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"trefoilthread/core/config"
	"trefoilthread/io/admin"
	"trefoilthread/io/change"
	"trefoilthread/io/opspb"
)

type getCmd struct {
	client `embed:""`
	Names  []string `arg:"" optional:"" name:"service" help:"Services, all if none is named."`
}

// Run prints services with the versions that changes have to build on.
func (c *getCmd) Run() error {
	ops, err := c.ops()
	if err != nil {
		return err
	}
	res, err := send(ops.ListServices, &opspb.ListServicesRequest{})
	if err != nil {
		return err
	}
	if len(c.Names) > 0 {
		for _, n := range c.Names {
			if !slices.ContainsFunc(res.GetServices(), func(s *opspb.Service) bool { return s.GetName() == n }) {
				return errors.Newf("service %q does not exist", n)
			}
		}
		res.Services = slices.DeleteFunc(res.GetServices(), func(s *opspb.Service) bool {
			return !slices.Contains(c.Names, s.GetName())
		})
	}
	if c.JSON {
		return printMessage(res)
	}
	var list []config.Service
	for _, s := range res.GetServices() {
		svc, problems := admin.FromProto(s)
		if len(problems) > 0 {
			return errors.Newf("service %s is not understood by this release: %s", s.GetName(), problems[0])
		}
		list = append(list, svc.WithVersion(s.GetVersion()))
	}
	text, err := change.Format(list)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
