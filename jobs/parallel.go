package jobs

import "sync"

// parallelCalls makes calls to workers concurrently, in at most limit
// goroutines.
type parallelCalls struct {
	limit int
}

// forEach runs call for each i from 0 to n-1 and returns when all calls have
// returned. Without parallelism they run in order on the caller's goroutine.
func (c parallelCalls) forEach(n int, call func(i int)) {
	if n == 0 {
		return
	}
	if c.limit <= 1 {
		for i := range n {
			call(i)
		}
		return
	}
	indexes := make(chan int, n)
	for i := range n {
		indexes <- i
	}
	close(indexes)
	var wg sync.WaitGroup
	for range min(c.limit, n) {
		wg.Add(1)
		go c.loop(&wg, indexes, call)
	}
	wg.Wait()
}

// loop runs call for each index from a channel until the channel is closed.
func (parallelCalls) loop(wg *sync.WaitGroup, indexes <-chan int, call func(i int)) {
	defer wg.Done()
	for i := range indexes {
		call(i)
	}
}
