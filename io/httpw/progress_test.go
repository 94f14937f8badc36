package httpw_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
)

// Guards against a message that broke off and of which nobody learns in which part, and after
// how many bytes: a target that sends without end is told from one that sends nothing by that.
func TestProgress(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		buffer  = 64 // of reader: a part is refused by the end of one
	)
	long := strings.Repeat("x", 20<<10)
	for name, c := range map[string]struct {
		in   string
		part httpw.Part
		from int64 // least number of bytes
		to   int64 // greatest
	}{
		"endless status line":  {"HTTP/1.1 200 " + long, httpw.PartHead, 1025, 1024 + buffer},
		"endless header lines": {ok + strings.Repeat("A: b\r\n", 999), httpw.PartHead, 1025, 1024 + buffer},
		"no HTTP":              {"\x16\x03\x01\n" + long, httpw.PartHead, 4, 4},
		"endless interim":      {strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 99), httpw.PartInterim, 9 * 18, 9 * 18},
		"endless chunk size":   {chunked + strings.Repeat("0", 9999), httpw.PartChunk, 1025, 1024 + buffer},
		"endless extensions":   {chunked + strings.Repeat("1;"+long[:900]+"\r\nx\r\n", 99), httpw.PartChunk, 16 << 10, 18 << 10},
		"endless trailer":      {chunked + "0\r\n" + strings.Repeat("A: b\r\n", 9999), httpw.PartTrailer, 16<<10 + 1, 16<<10 + buffer},
		"endless chunks":       {chunked + strings.Repeat("1\r\nx\r\n", 9999), httpw.PartBody, 4096, 4096},
		"endless body":         {ok + "\r\n" + long, httpw.PartBody, 4097, 3 * 4096},
		"announced length":     {ok + "Content-Length: 5000\r\n\r\nabc", httpw.PartBody, 0, 0},
		"cut head":             {ok + "A:", httpw.PartHead, 19, 19},
		"cut after interim":    {"HTTP/1.1 103 X\r\n\r\n", httpw.PartHead, 18, 18},
		"cut body":             {ok + "Content-Length: 5\r\n\r\nabc", httpw.PartBody, 3, 3},
		"cut chunk":            {chunked + "5\r\nabc", httpw.PartBody, 3, 3},
		"cut chunk line":       {chunked + "5", httpw.PartChunk, 1, 1},
		"cut trailer":          {chunked + "0\r\nA: b\r\n", httpw.PartTrailer, 6, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := httpw.ReadResponse(reader(c.in), "GET", limits)
			is.Equal(httpw.IsMessageError(err), !strings.HasPrefix(name, "cut"))
			is.True(httpw.IsMessageError(err) || errors.Is(err, io.ErrUnexpectedEOF))
			is.Equal(httpw.IsTooLong(err), strings.HasPrefix(name, "endless") || name == "announced length")
			part, read := httpw.Progress(err)
			is.Equal(part, c.part)
			is.True(read >= c.from && read <= c.to)
		})
	}
	is := is.New(t)
	br := bufio.NewReader(strings.NewReader(ok + "\r\n" + strings.Repeat(long, 9)))
	_, err := httpw.ReadResponse(br, "GET", httpw.Limits{HeaderBytes: 99, BodyBytes: 1 << 30, Budget: httpw.NewBudget(0)})
	part, read := httpw.Progress(err)
	is.Equal(part, httpw.PartMemory)
	is.True(read > 0 && read <= 64<<10)
	part, read = httpw.Progress(io.EOF)
	is.Equal(part, httpw.PartOther)
	is.Equal(read, int64(0))
}

// Guards against a sound peer whose message counts as too long because others have used up the
// memory, and against one that needs more than all of it and doesn't count.
func TestTooLongForTheMemory(t *testing.T) {
	const stated, unstated, budget = "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", 4 << 20
	for _, c := range []struct {
		head    string
		total   int64
		others  int64 // bytes that they hold
		tooLong bool
	}{{stated, 2 << 20, 0, true}, {stated, budget, 2 << 20, false}, {unstated, budget, 0, true}, {unstated, budget, budget - 1<<19, false}} {
		is := is.New(t)
		b := httpw.NewBudget(c.total)
		_, ok := b.Hold(c.others)
		is.True(ok)
		br := bufio.NewReader(strings.NewReader(c.head + strings.Repeat("x", 5<<20)))
		_, err := httpw.ReadResponse(br, "GET", httpw.Limits{HeaderBytes: 99, BodyBytes: 1 << 30, Budget: b})
		part, _ := httpw.Progress(err)
		is.Equal(part, httpw.PartMemory)
		is.Equal(httpw.IsTooLong(err), c.tooLong)
	}
}
