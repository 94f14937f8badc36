package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"trefoilthread/core/types"
)

const (
	allowedName = "1 to 63 of a-z, 0-9 and -, first a letter, last not -"
	allowedPath = "/ and printable ASCII without space, \", `, \\, ?, # and dot or empty segments, * only at the end"
)

// Validate returns all invalid values of a service, or nil.
func Validate(s Service) []Problem {
	c := &checker{}
	p := s.spec
	c.check(isName(string(p.Name)), -1, "name", string(p.Name), allowedName)
	c.check(len(p.DataCentres) >= 1 && len(p.DataCentres) <= MaxDataCentres, -1, "dataCentres",
		strconv.Itoa(len(p.DataCentres))+" data centres", fmt.Sprintf("1 to %d data centres", MaxDataCentres))
	for i, dc := range p.DataCentres {
		c.check(isName(string(dc)), -1, "dataCentres", string(dc), allowedName)
		c.check(i == 0 || dc != p.DataCentres[i-1], -1, "dataCentres", string(dc), "each data centre once")
	}
	c.check(p.Slots >= 1 && p.Slots <= MaxSlots, -1, "slots", strconv.Itoa(p.Slots), fmt.Sprintf("1 to %d", MaxSlots))
	c.check(p.Connections >= max(p.Slots, 1) && p.Connections <= MaxConnections, -1, "connections",
		strconv.Itoa(p.Connections), fmt.Sprintf("%d (slots) to %d", max(p.Slots, 1), MaxConnections))
	c.check(p.ProbeBudget >= 0 && p.ProbeBudget <= MaxProbeBudget, -1, "probeBudget",
		p.ProbeBudget.String(), "0s to "+MaxProbeBudget.String())
	c.check(p.RetryShare >= 0 && p.RetryShare <= 1, -1, "retryShare", formatFloat(p.RetryShare), "0 to 1")
	c.check(p.HedgeShare >= 0 && p.HedgeShare <= 1, -1, "hedgeShare", formatFloat(p.HedgeShare), "0 to 1")
	c.check(p.MaxBodyBytes >= 0 && p.MaxBodyBytes <= MaxBody, -1, "maxBodyBytes",
		strconv.FormatInt(p.MaxBodyBytes, 10), fmt.Sprintf("0 to %d", MaxBody))
	c.check(len(p.Rules) <= MaxRules, -1, "rules", strconv.Itoa(len(p.Rules))+" rules", fmt.Sprintf("at most %d rules", MaxRules))
	// Rules beyond the limit are not checked: comparing them costs a time
	// that grows with the square of their number.
	for i := range p.Rules[:min(len(p.Rules), MaxRules)] {
		c.rule(p.Rules, i)
	}
	return c.problems
}

type checker struct {
	problems []Problem
}

func (c *checker) check(ok bool, rule int, key, value, allowed string) {
	if !ok {
		c.problems = append(c.problems, NewProblem(rule, key, value, allowed))
	}
}

func (c *checker) rule(rules []Rule, i int) {
	r := rules[i].spec
	c.check(isMethod(r.Method), i, "method", r.Method, "* or an HTTP method in capital letters")
	c.check(isPattern(r.Path), i, "path", r.Path, allowedPath)
	c.check(r.Runs <= types.AtMostOnce, i, "runs", strconv.Itoa(int(r.Runs)), "idempotent or atMostOnce")
	c.check(r.Deadline >= MinDeadline && r.Deadline <= MaxDeadline && r.Deadline%time.Millisecond == 0,
		i, "deadline", r.Deadline.String(), "1ms to 10m in whole milliseconds")
	c.check(r.Worth >= 0 && !math.IsInf(r.Worth, 0), i, "worth", formatFloat(r.Worth), "finite, 0 or more")
	for j := range i {
		// A rule behind one that covers it never applies, so its requests
		// would silently get the class of the other.
		if rules[j].covers(&rules[i]) {
			c.check(false, i, "", r.Method+" "+r.Path,
				fmt.Sprintf("a rule that no earlier one covers (rules[%d] is %s %s)", j, rules[j].Method(), rules[j].Path()))
			return
		}
	}
}

// isName reports whether s can be a label of a host name and a part of a path.
func isName(s string) bool {
	if s == "" || len(s) > MaxName || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

func isMethod(s string) bool {
	if s == "*" {
		return true
	}
	for i := range len(s) {
		if (s[i] < 'A' || s[i] > 'Z') && s[i] != '-' {
			return false
		}
	}
	return s != "" && len(s) <= 16
}

func isPattern(s string) bool {
	if s == "*" {
		return true
	}
	if s == "" || len(s) > MaxPath || s[0] != '/' || !isPlain(s) {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c > '~' || strings.IndexByte("\"`\\?#", c) >= 0 || (c == '*' && i != len(s)-1) {
			return false
		}
	}
	return true
}

// isID reports whether s can be a request id or the name of an operator.
func isID(s string) bool {
	if s == "" || len(s) > MaxID {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
