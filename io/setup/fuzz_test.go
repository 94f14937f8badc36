package setup_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"trefoilthread/io/setup"
)

// Guards against a settings file that makes the parser panic, or that is
// refused without a position inside the file.
func FuzzSettings(f *testing.F) {
	for _, s := range []string{
		"", "[listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:1\n", "[operators]\nana = secret-token\n",
		"[store]\nendpoints = http://127.0.0.1:2379\n[store]\n", "[a\n", "= 1", "[listen]\ncallers\n", "\xff[x]\n", "a = %(a)s\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := setup.Parse("f.ini", data)
		if err == nil {
			if s == nil {
				t.Fatal("neither settings nor error")
			}
			return
		}
		var list setup.Errors
		if s != nil || !errors.As(err, &list) || len(list) == 0 {
			t.Fatalf("refused with %T, settings %v", err, s != nil)
		}
		lines := strings.Count(string(data), "\n") + 1
		for _, e := range list {
			if e.Line() < 1 || e.Line() > lines {
				t.Fatalf("fault in line %d of %d: %v", e.Line(), lines, e)
			}
		}
	})
}

// Guards against an operator's token, entered in place of its hash, that is
// shown in an error and so gets into a log.
func FuzzOperatorToken(f *testing.F) {
	for _, s := range []string{"secret-token", "\"open-quote-token", "`back-quote-token", "a=b=c=delimiters", `ends-with-backslash\`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, token string) {
		token = strings.TrimSpace(token)
		if len(token) < 8 || strings.ContainsAny(token, "\r\n") {
			return
		}
		for _, line := range []string{"ana = " + token, "ana " + token} {
			_, err := setup.Parse("f.ini", []byte("[operators]\n"+line+"\n"))
			if err != nil && strings.Contains(strings.ReplaceAll(err.Error(), "64 hexadecimal digits", ""), token) {
				t.Errorf("error shows the token %q: %v", token, err)
			}
		}
	})
}
