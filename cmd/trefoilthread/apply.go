package main

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"trefoilthread/core/config"
	"trefoilthread/io/admin"
	"trefoilthread/io/opspb"
)

type applyCmd struct {
	client `embed:""`
	Files  []string `arg:"" name:"file" help:"Files with services." type:"path"`
}

// applied is the result for one service.
type applied struct {
	Service    string   `json:"service"`
	State      string   `json:"state"`
	Version    int64    `json:"version,omitempty"`
	NotInForce []string `json:"notInForce,omitempty"`
	Diff       []string `json:"diff,omitempty"`
	Error      string   `json:"error,omitempty"`
}

// Run sends each service on its own, so that a refused one does not hold up
// the others.
func (c *applyCmd) Run() error {
	services, ops, err := c.open(c.Files)
	if err != nil {
		return err
	}
	results := []applied{}
	failed, waiting := 0, 0
	for _, s := range services {
		r, err := applyService(ops, s)
		var ref *refusal
		if errors.As(err, &ref) && (isLostCode(ref.code) || ref.code == connect.CodeUnauthenticated) {
			// The next services would fail in the same way, each after its repetitions.
			return errors.CombineErrors(errors.Wrapf(err, "service %s", s.Name()), c.print(results))
		}
		if err != nil {
			failed++
			r = applied{Service: string(s.Name()), State: "refused", Error: err.Error()}
		}
		if len(r.NotInForce) > 0 {
			waiting++
		}
		results = append(results, r)
	}
	if err := c.print(results); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Newf("%d of %d services refused", failed, len(results))
	}
	if waiting > 0 {
		return errors.Newf("%d of %d services committed but not yet in force everywhere; see config status", waiting, len(results))
	}
	return nil
}

// applyService creates or changes one service. A service that has the content
// already is left alone whatever its version, so that a file can be applied
// twice.
func applyService(ops opspb.OpsClient, s config.Service) (applied, error) {
	req := &opspb.ChangeRequest{Service: admin.ToProto(s), BaseVersion: s.Version(), RequestId: uuid.NewString()}
	same, err := send(ops.DiffService, req)
	if err != nil {
		return applied{}, err
	}
	if len(same.GetDiff()) == 0 {
		return applied{Service: string(s.Name()), State: "unchanged"}, nil
	}
	call := ops.UpdateService
	if s.Version() == 0 {
		call = ops.CreateService
	}
	res, err := send(call, req)
	if err != nil {
		return applied{}, err
	}
	return applied{
		Service: string(s.Name()), State: res.GetState(), Version: res.GetVersion(),
		NotInForce: res.GetNotInForce(), Diff: res.GetDiff(),
	}, nil
}

func (c *applyCmd) print(results []applied) error {
	if c.JSON {
		return printJSON(results)
	}
	for _, r := range results {
		line := r.Service + ": " + r.State
		switch {
		case r.Error != "":
			line += ": " + r.Error
		case len(r.NotInForce) > 0:
			line += fmt.Sprintf(" as version %d, not yet in force in %s", r.Version, strings.Join(r.NotInForce, ", "))
		case r.Version > 0:
			line += fmt.Sprintf(" as version %d", r.Version)
		}
		if _, err := fmt.Println(strings.Join(append([]string{line}, r.Diff...), "\n  ")); err != nil {
			return err
		}
	}
	return nil
}
