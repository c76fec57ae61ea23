package jobs

import "sync"

// calls runs calls to workers concurrently, in at most parallel goroutines.
type calls struct {
	parallel int
}

// each runs call for each i from 0 to n-1 and returns when all calls have
// returned. Without parallelism they run in order on the caller's goroutine.
func (c calls) each(n int, call func(i int)) {
	if n == 0 {
		return
	}
	if c.parallel <= 1 {
		for i := range n {
			call(i)
		}
		return
	}
	ring := make(chan int, n)
	for i := range n {
		ring <- i
	}
	close(ring)
	var group sync.WaitGroup
	for range min(c.parallel, n) {
		group.Add(1)
		go c.loop(&group, ring, call)
	}
	group.Wait()
}

func (calls) loop(group *sync.WaitGroup, ring <-chan int, call func(i int)) {
	defer group.Done()
	for i := range ring {
		call(i)
	}
}
