// Package wire defines what daemons send each other: the frames of a stream
// and the CBOR messages in them.
//
// A stream carries one exchange. Each frame is one byte of type, four bytes of
// big-endian payload length and the payload. A body ends with an End frame
// that carries its total length, so that a stream cut short is never taken for
// a whole answer.
//
// The structs have exported fields with short CBOR names, because the codec
// needs them; io/peer converts them from and to core types. Unknown fields are
// ignored, so that daemons of neighbouring releases understand each other.
//
// # Usage
//
//	fw := wire.NewWriter(stream)
//	if err := fw.Message(wire.Head, &wire.CallHead{ID: "4f0c"}); err != nil {
//		return err
//	}
//	if err := fw.Body(p); err != nil {
//		return err
//	}
//	return fw.End()
package wire
