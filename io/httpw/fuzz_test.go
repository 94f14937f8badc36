package httpw_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"trefoilthread/io/httpw"
)

// fuzzLimits have a body that is longer than the memory that is taken for an announced one.
var fuzzLimits = httpw.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20}

const (
	// allocBytes is the memory that may be taken before bytes have come, and allocPerByte what
	// each of them may take. A header line of three bytes is kept in fields of 32 bytes, which
	// are copied as they become more.
	allocBytes   = 300 << 10
	allocPerByte = 64
	// longPart is longer than every bound but that of the body.
	longPart = 20 << 10
	// netBuffer holds the longest trailer that is accepted: net/http refuses longer ones.
	netBuffer = 64 << 10
	// statusBody is the first status whose response isn't an interim one.
	statusBody = 200
)

// bodies are the framings of a body, and what comes without end in each, as in issue 21.
var bodies = []string{
	"Content-Length: 2\r\n\r\nab", "Content-Length: 2\r\n\r\nabc", "Content-Length: 3\r\n\r\nab", "Content-Length: 0\r\n\r\n",
	"Content-Length: 99999999999\r\n\r\nab", "Content-Length: 1000000\r\n\r\nab", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
	"Content-Length:02\r\nContent-Length: 2\r\n\r\nab",
	"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\nrest",
	"Transfer-Encoding: chunked\r\n\r\n1 ;x\r\na\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1\na\n0\n\n",
	"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", longPart), "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", longPart),
	"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 900)+"\r\nx\r\n", 20),
	"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 999) + "0\r\n\r\n",
	"Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", longPart/6),
	"Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\n\nA: ",
	"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n", "\r\n" + strings.Repeat("x", longPart), "\r\n",
	strings.Repeat("A: b\r\n", longPart/6), "A: " + strings.Repeat("x", longPart), "A: b\r\n c\r\n\r\n", "A: b\nB:\tc \n\n",
	"Connection: keep-alive\r\nContent-Length: 1\r\n\r\na", "Connection: close, X\r\nX: 1\r\nContent-Length: 1\r\n\r\na", "X-Guest: Jos\xe9\x01\r\n\r\n",
}

// noHTTP are bytes that are no message.
var noHTTP = []string{"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "\x00\xff\x00\xff", "\r\n\r\n\r\n", ""}

// allocated returns the bytes that f allocates. Other goroutines may add to one run of it,
// so it counts the least of several when the first is above the bound.
func allocated(bound uint64, f func()) uint64 {
	var least uint64
	for i := range 3 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; i == 0 || n < least {
			least = n
		}
		if least <= bound {
			break
		}
	}
	return least
}

// checkAllocation fails if read allocates more than data may take.
func checkAllocation(t *testing.T, data []byte, read func(*bufio.Reader)) {
	t.Helper()
	bound := uint64(allocBytes + allocPerByte*len(data))
	n := allocated(bound, func() { read(bufio.NewReader(bytes.NewReader(data))) })
	if n > bound {
		t.Fatalf("%d bytes allocated for %d, allowed %d", n, len(data), bound)
	}
}

// message is what two parsers have to agree on.
type message struct {
	start string // method and target, or status
	body  string
	close bool
	rest  string // what comes behind the message
}

func restOf(br *bufio.Reader) string {
	rest, _ := io.ReadAll(br) // of a reader in memory
	return string(rest)
}

// FuzzRequest guards against a request that is passed on as another one than was read, that
// ends elsewhere than for other servers, or that takes more memory than its bytes.
func FuzzRequest(f *testing.F) {
	for _, b := range bodies {
		f.Add([]byte("POST /a?b HTTP/1.1\r\nHost: x\r\n" + b))
		f.Add([]byte("GET /a HTTP/1.0\r\n" + b))
	}
	for _, b := range append(noHTTP, "GET /"+strings.Repeat("x", longPart), "GET /%zz#\xff HTTP/1.1\r\n\r\n", "OPTIONS * HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n",
		"\r\nGET / HTTP/1.1\n\n", "GET http://a/ HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na") {
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkAllocation(t, data, func(br *bufio.Reader) {
			_, _ = httpw.ReadRequest(br, fuzzLimits) // read once more below
		})
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := httpw.ReadRequest(br, fuzzLimits)
		if err != nil {
			return
		}
		checkRequestAgain(t, r)
		compare(t, data, message{r.Method + " " + r.Target, string(r.Body), r.Close, restOf(br)}, netRequest, netStricter)
	})
}

// checkRequestAgain fails if r isn't the same when it is written and read.
func checkRequestAgain(t *testing.T, r *httpw.Request) {
	t.Helper()
	out := httpw.Request{Method: r.Method, Target: r.Target, Header: r.Header.EndToEnd(), Body: r.Body}
	buf := httpw.AppendRequest(nil, &out)
	br := bufio.NewReader(bytes.NewReader(buf))
	again, err := httpw.ReadRequest(br, httpw.Limits{HeaderBytes: 2 * fuzzLimits.HeaderBytes, BodyBytes: fuzzLimits.BodyBytes})
	if err != nil {
		t.Fatalf("%v: %q", err, buf)
	}
	if again.Method != r.Method || again.Target != r.Target || !bytes.Equal(again.Body, r.Body) ||
		!reflect.DeepEqual(again.Header.EndToEnd(), out.Header) || br.Buffered() > 0 {
		t.Fatalf("%+v became %+v", r, again)
	}
}

// netRequest reads a request with net/http.
func netRequest(data []byte) (message, error) {
	for _, end := range []string{"\r\n", "\n"} { // ignored, RFC 9112, section 2.2
		if rest, ok := bytes.CutPrefix(data, []byte(end)); ok {
			data = rest
			break
		}
	}
	br := bufio.NewReaderSize(bytes.NewReader(data), netBuffer)
	r, err := http.ReadRequest(br)
	if err != nil {
		return message{}, err
	}
	body, err := io.ReadAll(r.Body)
	return message{r.Method + " " + r.RequestURI, string(body), r.Close, restOf(br)}, err
}

// FuzzResponse guards against a response that is passed on as another one than was read, that
// ends elsewhere than for other clients, or that takes more memory than its bytes.
func FuzzResponse(f *testing.F) {
	for _, b := range bodies {
		f.Add([]byte("HTTP/1.1 200 OK\r\n"+b), false)
		f.Add([]byte("HTTP/1.0 404 \r\n"+b), false)
		f.Add([]byte("HTTP/1.1 204 No Content\r\n"+b), false)
		f.Add([]byte("HTTP/1.1 200\r\n"+b), true)
	}
	interim := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for _, b := range append(noHTTP, "HTTP/1.1 200 "+strings.Repeat("x", longPart), strings.Repeat(interim, 99),
		strings.Repeat(interim, 8)+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 X\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n\x00",
		"HTTP/1.1 20HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 999 \xff\r\n\r\n", "HTTP/1.1 599 \xff\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 +20 X\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n") {
		f.Add([]byte(b), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		checkAllocation(t, data, func(br *bufio.Reader) {
			_, _ = httpw.ReadResponse(br, method, fuzzLimits) // read once more below
		})
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := httpw.ReadResponse(br, method, fuzzLimits)
		if err != nil {
			return
		}
		checkResponseAgain(t, r, method)
		compare(t, data, message{fmt.Sprint(r.Status), string(r.Body), r.Close, restOf(br)},
			func(data []byte) (message, error) { return netResponse(data, method) }, netStricter[1:])
	})
}

// checkResponseAgain fails if r isn't the same when it is written and read.
func checkResponseAgain(t *testing.T, r *httpw.Response, method string) {
	t.Helper()
	out := *r
	out.Header = r.Header.EndToEnd()
	buf := httpw.AppendResponse(nil, &out, method)
	br := bufio.NewReader(bytes.NewReader(buf))
	again, err := httpw.ReadResponse(br, method, httpw.Limits{HeaderBytes: 2 * fuzzLimits.HeaderBytes, BodyBytes: fuzzLimits.BodyBytes})
	if err != nil {
		t.Fatalf("%v: %q", err, buf)
	}
	reason := r.Reason
	if reason == "" {
		reason = http.StatusText(r.Status)
	}
	if again.Status != r.Status || again.Reason != reason || again.Close != r.Close || again.NoLength || !bytes.Equal(again.Body, r.Body) ||
		!reflect.DeepEqual(again.Header.EndToEnd(), out.Header) || br.Buffered() > 0 {
		t.Fatalf("%+v became %+v", r, again)
	}
}

// netResponse reads a response with net/http, without the interim ones before it.
func netResponse(data []byte, method string) (message, error) {
	br := bufio.NewReaderSize(bytes.NewReader(data), netBuffer)
	for {
		r, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return message{}, err
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return message{}, err
		}
		if r.StatusCode >= statusBody {
			return message{fmt.Sprint(r.StatusCode), string(body), r.Close, restOf(br)}, nil
		}
	}
}

// netStricter are the errors of net/http for messages that RFC 9112 and 9110 let a recipient
// accept, and that are passed on in one way only.
var netStricter = []string{
	"malformed MIME header",        // control characters in values of requests, RFC 9110, section 5.5
	"invalid byte in chunk length", // white space before an extension, RFC 9110, section 5.6.3
	"multiple Content-Length",      // the same number, written in two ways, RFC 9112, section 6.3
	"parse \"",                     // the target reads the escapes of its path itself
}

// compare fails if net/http reads another message than got, or refuses it for a reason that
// isn't in stricter.
func compare(t *testing.T, data []byte, got message, read func([]byte) (message, error), stricter []string) {
	t.Helper()
	want, err := read(data)
	if err == nil && got != want {
		t.Fatalf("read %+v, net/http %+v", got, want)
	}
	if err != nil && !slices.ContainsFunc(stricter, func(s string) bool { return strings.Contains(err.Error(), s) }) {
		t.Fatalf("net/http refuses what is accepted here as %+v: %v", got, err)
	}
}
