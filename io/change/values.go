package change

import (
	"strconv"
	"strings"
	"time"

	"trefoilthread/core/types"
)

// values reads the typed values of a section. A key that is absent keeps the
// default; one that cannot be read is an error and keeps it too.
type values struct {
	scanner *scanner
	section *section
}

// read looks up a key and passes its value to parse.
func (v values) read(key, allowed string, parse func(string) error) {
	text, ok := v.section.values[key]
	if !ok {
		return
	}
	if err := parse(text); err != nil {
		v.scanner.fail(v.section.lineOf(key), v.section.header, key, text, allowed)
		v.section.bad[key] = true
	}
}

func (v values) integer(key string, p *int64) {
	v.read(key, "a whole number", func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err == nil {
			*p = n
		}
		return err
	})
}

func (v values) count(key string, p *int) {
	n := int64(*p)
	v.integer(key, &n)
	*p = int(n)
}

func (v values) float(key string, p *float64) {
	v.read(key, "a number", func(s string) error {
		f, err := strconv.ParseFloat(s, 64)
		if err == nil {
			*p = f
		}
		return err
	})
}

func (v values) duration(key string, p *time.Duration) {
	v.read(key, "a duration such as 80ms or 1.5s", func(s string) error {
		d, err := time.ParseDuration(s)
		if err == nil {
			*p = d
		}
		return err
	})
}

func (v values) boolean(key string, p *bool) {
	v.read(key, "true or false", func(s string) error {
		if s != "true" && s != "false" {
			return strconv.ErrSyntax
		}
		*p = s == "true"
		return nil
	})
}

func (v values) runs(key string, p *types.Runs) {
	v.read(key, "idempotent or atMostOnce", func(s string) error {
		r, ok := types.ParseRuns(s)
		if !ok {
			return strconv.ErrSyntax
		}
		*p = r
		return nil
	})
}

func (v values) dataCentres(key string, p *[]types.DataCentre) {
	v.read(key, "", func(s string) error {
		for name := range strings.SplitSeq(s, ",") {
			*p = append(*p, types.DataCentre(strings.TrimSpace(name)))
		}
		return nil
	})
}
