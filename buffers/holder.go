package buffers

import "time"

// Holder is what one answer has taken of a budget. Its methods are called by one goroutine at a time.
type Holder struct {
	budget *Budget
	// readCutOff ends the read of the answer.
	readCutOff func()
	// The fields below are protected by the mutex of the budget. The goroutine of the holder may read taken, which
	// no other one changes, without it. cutOff ends what the holder does now.
	cutOff func()
	taken  int64
	// progressAt is when bytes of the answer were last read or written.
	progressAt time.Time
	isCut      bool
}

// NewHolder returns a holder without bytes. cutOff ends the read of the answer. It is called with the budget
// locked, so it must neither block nor use the budget.
func (b *Budget) NewHolder(cutOff func()) *Holder {
	return &Holder{budget: b, readCutOff: cutOff}
}

// TryReserve takes as many bytes as are missing for the holder to have n. It returns false if they are lacking.
func (h *Holder) TryReserve(n int64) bool { return h.reserve(n, h.budget.TryGrow) }

// Reserve is TryReserve for an answer that fails without the bytes. It may cut off other holders.
func (h *Holder) Reserve(n int64) bool { return h.reserve(n, h.budget.Grow) }

func (h *Holder) reserve(n int64, grow func(held, n int64) bool) bool {
	b := h.budget
	if b == nil || n <= h.taken {
		return true
	}
	if !grow(h.taken, n-h.taken) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.taken == 0 {
		h.cutOff, h.progressAt = h.readCutOff, time.Now()
		b.holders[h] = struct{}{}
	}
	h.taken = n
	return true
}

// Progress records that bytes of the answer have been read or written. It returns false if the holder has been
// cut off.
func (h *Holder) Progress() bool {
	if h.taken == 0 {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = time.Now()
	return !h.isCut
}

// BeginWrite records that the answer is being written until EndWrite. cutOff, which is bound by what NewHolder
// states, ends the write.
func (h *Holder) BeginWrite(cutOff func()) { h.setCutOff(cutOff) }

// EndWrite ends a write. It returns false if the holder has been cut off.
func (h *Holder) EndWrite() bool { return h.setCutOff(h.readCutOff) }

func (h *Holder) setCutOff(cutOff func()) bool {
	if h.taken == 0 {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.cutOff = cutOff
	return !h.isCut
}

// Release returns the bytes. The holder may reserve others afterwards.
func (h *Holder) Release() {
	if h.taken == 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holders, h)
	b.release(h.taken)
	h.taken = 0
}
