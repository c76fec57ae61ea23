package jobs

import "sync"

// calls runs calls to workers side by side, in a bounded number of goroutines.
type calls struct {
	parallel int
}

// each runs call for 0 to n-1 and returns when all have ended.
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
