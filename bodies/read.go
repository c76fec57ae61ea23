package bodies

import (
	"io"

	"github.com/pkg/errors"
)

// Sizes of the steps in which the memory of a body is taken, in bytes. A body without an announced length begins with the
// smaller one.
const (
	firstStep = 4 << 10
	step      = 16 << 10
)

// Source is a request body to be read.
type Source struct {
	Reader io.Reader
	// Length is the announced length in bytes; it is negative if there is none.
	Length int64
	// Limit is the largest length in bytes.
	Limit int64
	// Stop makes a blocked read of Reader return. It may be called from any goroutine.
	Stop func()
}

// Read reads a body. Its memory is taken from the budget as the bytes arrive, so that an announced length alone takes none.
// The caller releases the returned body; after an error nothing is held.
func (b *Budget) Read(source Source) (*Body, error) {
	body := b.begin(source.Length, source.Stop)
	var err error
	if source.Length > source.Limit {
		err = ErrTooLarge // nothing is read
	} else {
		err = b.fill(body, source)
	}
	if err = b.end(body, err); err != nil {
		return nil, err
	}
	return body, nil
}

// fill reads a body part by part, and joins the parts.
func (b *Budget) fill(body *Body, source Source) error {
	var parts [][]byte
	total := int64(0)
	for total != source.Length {
		size := int64(step)
		switch {
		case source.Length >= 0:
			size = min(size, source.Length-total)
		case total == 0:
			size = firstStep
		}
		if err := b.take(body, size); err != nil {
			return err
		}
		part := make([]byte, size)
		n, err := io.ReadFull(source.Reader, part)
		total += int64(n)
		parts = append(parts, part[:n])
		isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		switch {
		case total > source.Limit:
			return ErrTooLarge
		case isEnd && source.Length < 0:
			return b.join(body, parts, total)
		case isEnd:
			return errors.Wrapf(io.ErrUnexpectedEOF, "read a body of %d bytes after %d", source.Length, total)
		case err != nil:
			return errors.Wrap(err, "read a body")
		}
	}
	return b.join(body, parts, total)
}

// join sets the data of a body, which has been read, from its parts.
func (b *Budget) join(body *Body, parts [][]byte, total int64) error {
	if len(parts) == 1 {
		body.data = parts[0]
		return nil
	}
	b.keep(body)
	held := body.held
	if err := b.take(body, total); err != nil {
		return err
	}
	data := make([]byte, 0, total)
	for _, part := range parts {
		data = append(data, part...)
	}
	body.data = data
	b.mu.Lock()
	defer b.mu.Unlock()
	if !body.stopped {
		body.held -= held
		b.held -= held
	}
	return nil
}
