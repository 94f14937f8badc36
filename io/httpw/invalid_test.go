package httpw_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"trefoilthread/io/httpw"
)

// invalidStatuses are no status codes: RFC 9110, section 15, has three digits from 100 to 599.
var invalidStatuses = []string{
	"000", "001", "099", "600", "999", "1000", "20", "2", "", "+20", "-20", "2x0", "0x2", " 200", "\t200", "2 0", "2.0", "٢00", "200\t", "200\x00",
}

// invalidLines are no header lines.
var invalidLines = map[string]string{
	"blank before the colon": "A : b", "tab before the colon": "A\t: b", "blank in the name": "A B: b", "empty name": ": b",
	"blank before the name": " A: b", "folded line": "A: b\r\n c", "folded line with a colon": "A: b\r\n C: d", "folded line of a tab": "A: b\r\n\tc",
	"folded line of blanks": "A: b\r\n  ", "no colon": "A", "control byte in the name": "A\x01: b", "DEL in the name": "A\x7f: b",
	"NUL in the name": "A\x00: b", "CR in the name": "A\r: b", "byte above 127 in the name": "\xc4: b", "parenthesis in the name": "A(b): c",
	"NUL in the value": "A: b\x00c", "CR in the value": "A: b\rc", "control byte in the value": "A: b\x01c", "escape in the value": "A: \x1b[0m",
	"DEL in the value": "A: b\x7f", "vertical tab around the value": "A: \x0bb",
}

// Guards against a response that others refuse, or read as another one, and that is passed on
// to a caller as valid: in a response, in an interim one before it, and in a trailer.
func TestInvalidResponsesAreRefused(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	rows := map[string]string{
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
		"NUL in the reason":          "HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n",
	}
	for _, status := range invalidStatuses {
		rows["status "+status] = "HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n" + final
	}
	for name, line := range invalidLines {
		rows["response: "+name] = "HTTP/1.1 200 OK\r\nB: c\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"
		rows["first line: "+name] = "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"
		rows["interim response: "+name] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + final
		rows["trailer: "+name] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + line + "\r\n\r\n"
	}
	for name, in := range rows {
		t.Run(name, func(t *testing.T) {
			resp, err := httpw.ReadResponse(reader(in), "GET", limits)
			if !httpw.IsMessageError(err) {
				t.Fatalf("%q is read as %+v, error %v", in, resp, err)
			}
		})
	}
}

// Guards against valid responses that are refused: the statuses at the bounds, and values with
// tabs and bytes above 127, which RFC 9110, section 5.5, allows.
func TestValidResponsesAreRead(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"200", "299", "599"} {
		resp, err := httpw.ReadResponse(reader("HTTP/1.1 100 \r\nA:\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 "+status+
			" Jos\xe9\tX\r\n!#$%&'*+-.^_`|~09aZ: Jos\xe9\tX \r\nContent-Length: 0\r\n\r\n"), "GET", limits)
		is.NoErr(err)
		is.Equal(strconv.Itoa(resp.Status), status)
		is.Equal(resp.Header[0].Value, "Jos\xe9\tX")
		is.Equal(resp.Reason, "Jos\xe9\tX")
	}
}
