// Package httpw reads and writes HTTP/1.1 messages on a byte stream.
//
// The data path uses it instead of net/http for four reasons: requests that a
// caller pipelined are read while earlier ones run, a caller's close is seen
// while its request runs, a second answer on a connection is told from the
// next one, and an answer that is cut is never taken for a whole one. It is
// not a general HTTP library: bodies are held in memory, and there are no
// redirects, cookies, proxies or protocol upgrades.
//
// # Strictness
//
// Messages whose framing could be understood in two ways are refused: both
// Content-Length and Transfer-Encoding, Transfer-Encoding in HTTP/1.0, different lengths,
// line folding, white space before a colon, CR and NUL within a line, chunk sizes that
// are no plain hexadecimal number, and lines of a chunked body that end with a bare LF. So are
// requests with two Host lines, and a response whose status line or a header value goes on
// with a status line: it broke off there, and another one follows. A response is refused as well
// if its status isn't from 100 to 599, or if its reason phrase or a header value, also of a
// trailer or an interim response, has a control character other than a tab. What is written has
// exactly one framing.
//
// # Differences from net/http
//
// The fuzz tests compare both parsers with net/http. Refused here only, beside what is beyond
// the bounds: the messages above (net/http also refuses NUL and CR, two Host lines, different
// lengths, bad chunk sizes and bare LFs in chunked bodies), targets that neither begin with a
// slash nor are "*", versions other than HTTP/1.0 and HTTP/1.1, and a second space before a
// status. RFC 9112 has a server accept absolute targets (section 3.2.2), but only proxies get
// them, and no route is found by them. Accepted here only, as RFC 9110 and 9112 allow:
// other control characters in field values of requests, white space before a chunk extension, the same
// length written in two ways, escapes in a target that can't be decoded, which are passed on as
// they are, and an empty line before a request.
//
// # Bounds
//
// Each part of a message has a bound, so bytes that come without end are an error soon:
// Limits for the header and the body, and constants for interim responses, chunk lines,
// their extensions and trailers. The bodies that several connections hold at a time take
// memory from a Budget beyond their first 64 KB.
//
// # Usage
//
//	br := bufio.NewReader(conn)
//	req, err := httpw.ReadRequest(br, httpw.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20})
//	var bad *httpw.MessageError
//	if errors.As(err, &bad) {
//		// Answer bad.Status() and close the connection.
//	}
//	buf := httpw.AppendResponse(nil, &httpw.Response{Status: 200, Body: body})
package httpw
