// Package times learns how long tasks run compared with what their callers declare, as
// distributions: by image, by queue and for all tasks together.
package times

import glade "indigoglade"

// Limits of what is kept and used.
const (
	// minObservations is the weight of observations from which a distribution is used. With
	// fewer, a single straggler would decide.
	minObservations = 20
	// maxKinds bounds the images and the queues that are kept, each. The one that was not
	// observed for the longest time makes room.
	maxKinds = 64
)

// Times holds the distributions of one service.
type Times struct {
	all    *Distribution
	images kinds[string]
	queues kinds[glade.Queue]
}

// New returns Times without observations.
func New() *Times {
	return &Times{all: &Distribution{}, images: make(kinds[string]), queues: make(kinds[glade.Queue])}
}

// Observe adds the ratio of actual to declared time of one run. The image may be empty.
func (t *Times) Observe(queue glade.Queue, image string, ratio float64) {
	t.each(queue, image, func(d *Distribution) { d.Observe(ratio) })
}

// ObserveLonger adds a run that was stopped at the given ratio because another run of its task
// had ended.
func (t *Times) ObserveLonger(queue glade.Queue, image string, ratio float64) {
	t.each(queue, image, func(d *Distribution) { d.ObserveLonger(ratio) })
}

// each calls observe with the distributions to which a run belongs.
func (t *Times) each(queue glade.Queue, image string, observe func(*Distribution)) {
	observe(t.all)
	observe(t.queues.of(queue, t.all.observed))
	if image != "" {
		observe(t.images.of(image, t.all.observed))
	}
}

// Of returns the distribution of an image, else that of its queue, else that of all tasks:
// the first that has enough observations. It returns nil if none has.
func (t *Times) Of(queue glade.Queue, image string) *Distribution {
	if d := t.Own(queue, image); d != nil {
		return d
	}
	if t.all.Weight() >= minObservations {
		return t.all
	}
	return nil
}

// Own returns the distribution of an image, else that of its queue, and nil if neither has
// enough observations.
func (t *Times) Own(queue glade.Queue, image string) *Distribution {
	if k, ok := t.images[image]; ok && k.Weight() >= minObservations {
		return &k.Distribution
	}
	if k, ok := t.queues[queue]; ok && k.Weight() >= minObservations {
		return &k.Distribution
	}
	return nil
}

// kind is the distribution of one image or queue.
type kind struct {
	Distribution
	// observedAt is the number of the last observation.
	observedAt int64
}

type kinds[K comparable] map[K]*kind

// of returns the distribution of key, which is observed as the number-th of all.
func (k kinds[K]) of(key K, number int64) *Distribution {
	found, ok := k[key]
	if !ok {
		if len(k) >= maxKinds {
			k.evict()
		}
		found = &kind{}
		k[key] = found
	}
	found.observedAt = number
	return &found.Distribution
}

func (k kinds[K]) evict() {
	var oldest K
	least := int64(-1)
	for key, d := range k {
		if least < 0 || d.observedAt < least {
			oldest, least = key, d.observedAt
		}
	}
	delete(k, oldest)
}

// Kinds returns how many images and queues are kept.
func (t *Times) Kinds() (images, queues int) { return len(t.images), len(t.queues) }
