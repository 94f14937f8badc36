package ring

import "sync"

// BufferSize is the size in bytes of the buffers that bodies are copied with.
const BufferSize = 16 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, BufferSize)
	return &b
}}

// Buffer returns a buffer of BufferSize bytes. A daemon copies thousands of
// bodies a second; buffers that are used again spare the collector most of it.
func Buffer() *[]byte { return buffers.Get().(*[]byte) }

// Free gives a buffer back. It must not be used afterwards.
func Free(b *[]byte) { buffers.Put(b) }
