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
// with a status line: it broke off there, and another one follows. What is written has
// exactly one framing.
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
