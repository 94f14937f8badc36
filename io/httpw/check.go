package httpw

import (
	"bufio"
	"bytes"
)

// CheckResponse returns an error if a response that wasn't read by ReadResponse can't be
// passed on: its status is none of a final response, or its reason phrase or a header line
// isn't valid. Written out, such a line could end the head, or begin another response.
func CheckResponse(r *Response) error {
	at := position{part: PartHead}
	if !isStatus(r.Status) || r.Status < 200 {
		return newMessageError(502, at, "status %d", r.Status)
	}
	if !isText(r.Reason) {
		return newMessageError(502, at, "control character in the reason phrase")
	}
	for _, f := range r.Header {
		if !isToken(f.Name) {
			return newMessageError(502, at, "header name %q", f.Name)
		}
		if !isText(f.Value) {
			return newMessageError(502, at, "control character in the value of %s", f.Name)
		}
	}
	return nil
}

// ReadResponseHead reads the head of a response from data by the rules of ReadResponse, for
// clients that read less strictly. It returns the status.
func ReadResponseHead(data []byte, lim Limits) (status int, err error) {
	h := newHead(bufio.NewReader(bytes.NewReader(data)), lim)
	h.isResponse = true
	resp, _, _, err := h.response()
	if err != nil {
		return 0, err
	}
	return resp.Status, nil
}
