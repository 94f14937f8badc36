package httpw

// Limits bound what is read of one message.
type Limits struct {
	HeaderBytes int   // start line and header lines, in bytes
	BodyBytes   int64 // body without framing, in bytes
	// Budget bounds the bodies of all messages that are read with it, nil for no bound.
	Budget *Budget
}

// Request is a whole request.
type Request struct {
	Method string
	Target string // path and query as sent
	Header Header
	Body   []byte
	// Close tells that the sender wants no further exchange on the connection.
	Close bool

	memory Holding
}

// Release drops the body and gives its memory back to the Budget. It must not be used any
// more.
func (r *Request) Release() {
	r.Body = nil // a pipelined request may stay for long after that
	r.memory.Release()
}

// Response is a whole response.
type Response struct {
	Status int
	Reason string
	Header Header
	Body   []byte
	// Close tells that the connection ends with this response.
	Close bool
	// NoLength tells that the body was framed by the end of the connection.
	NoLength bool
	// Memory is that of the body, until the response has been passed on. Who drops a
	// response releases it.
	Memory *Holding
}
