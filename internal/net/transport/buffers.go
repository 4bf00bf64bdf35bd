package transport

import (
	"sync"

	"otterturn/internal/memory"
)

// Sizes of the buffers for bodies in transfer, in bytes.
const (
	bufferBytes      = 32 << 10
	smallBufferBytes = 2 << 10 // while memory is short
)

// bufferPool is a pool of buffers for bodies in transfer. Its buffers are reserved while they are in use.
type bufferPool struct {
	pool   sync.Pool
	budget *memory.Budget
}

// Get returns a buffer, a small one while memory is short.
func (p *bufferPool) Get() []byte {
	if !p.budget.TryReserve(bufferBytes) {
		return make([]byte, smallBufferBytes)
	}
	if b, ok := p.pool.Get().(*[]byte); ok {
		return *b
	}
	return make([]byte, bufferBytes)
}

// Put takes a buffer back.
func (p *bufferPool) Put(b []byte) {
	if cap(b) < bufferBytes {
		return
	}
	p.pool.Put(&b)
	p.budget.Release(bufferBytes)
}
