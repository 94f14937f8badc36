package change

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"trefoilthread/core/config"
)

// Format returns a file that Parse reads as the given services. All keys are
// written, so that the file does not depend on defaults.
func Format(services []config.Service) ([]byte, error) {
	f := ini.Empty(options)
	for _, svc := range services {
		if err := formatService(f, svc); err != nil {
			return nil, errors.Wrapf(err, "format service %s", svc.Name())
		}
	}
	var out bytes.Buffer
	if _, err := f.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "format services")
	}
	return out.Bytes(), nil
}

func formatService(f *ini.File, svc config.Service) error {
	names := make([]string, 0, len(svc.DataCentres()))
	for _, dc := range svc.DataCentres() {
		names = append(names, string(dc))
	}
	header := `service "` + string(svc.Name()) + `"`
	if err := addSection(f, header, [][2]string{
		{"version", strconv.FormatInt(svc.Version(), 10)},
		{"dataCentres", strings.Join(names, ", ")},
		{"slots", strconv.Itoa(svc.Slots())},
		{"connections", strconv.Itoa(svc.Connections())},
		{"probeBudget", svc.ProbeBudget().String()},
		{"retryShare", formatFloat(svc.RetryShare())},
		{"hedgeShare", formatFloat(svc.HedgeShare())},
		{"maxBodyBytes", strconv.FormatInt(svc.MaxBodyBytes(), 10)},
	}); err != nil {
		return err
	}
	for _, r := range svc.Rules() {
		header := `rule "` + string(svc.Name()) + `" "` + r.Method() + `" "` + r.Path() + `"`
		if err := addSection(f, header, [][2]string{
			{"urgent", strconv.FormatBool(r.Class().Urgent())},
			{"runs", r.Class().Runs().String()},
			{"deadline", r.Deadline().String()},
			{"worth", formatFloat(r.Worth())},
		}); err != nil {
			return err
		}
	}
	return nil
}

func addSection(f *ini.File, name string, keys [][2]string) error {
	sec, err := f.NewSection(name)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if _, err := sec.NewKey(k[0], k[1]); err != nil {
			return err
		}
	}
	return nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
