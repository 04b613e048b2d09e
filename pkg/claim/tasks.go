package claim

import "sync"

// tasks counts running goroutines. Unlike sync.WaitGroup it allows start while
// another goroutine waits for the count to reach zero.
type tasks struct {
	mu      sync.Mutex
	count   int
	waiters []chan struct{}
}

func (t *tasks) start(f func()) {
	t.mu.Lock()
	t.count++
	t.mu.Unlock()
	go func() {
		defer t.end()
		f()
	}()
}

func (t *tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count > 0 {
		return
	}
	for _, w := range t.waiters {
		close(w)
	}
	t.waiters = nil
}

// idle returns a channel that is closed when no goroutine is running.
func (t *tasks) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := make(chan struct{})
	if t.count == 0 {
		close(w)
		return w
	}
	t.waiters = append(t.waiters, w)
	return w
}
