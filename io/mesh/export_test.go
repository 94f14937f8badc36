package mesh

import "bufio"

// MaxOpen exposes maxOpen.
const MaxOpen = maxOpen

// HasRawText is for tests.
func HasRawText(msg any) bool { return hasRawText(msg) }

// Encode returns the frame of a message.
func Encode(k byte, msg any) ([]byte, error) { return appendFrame(nil, kind(k), 1, msg) }

// Decode reads a frame into a message.
func Decode(br *bufio.Reader, msg any) error {
	f, err := readFrame(br, nil, func() {})
	if err != nil {
		return err
	}
	return f.decode(msg)
}
