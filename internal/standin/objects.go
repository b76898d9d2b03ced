package standin

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"cuminloft/internal/platform"
)

// Objects is the stand-in of the platform's object store.
type Objects struct {
	Faults

	mu      sync.Mutex
	objects map[string][]byte
	calls   int64
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}}
}

// Put implements platform.ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	return o.withFaults(ctx, true, func() error {
		o.objects[name] = bytes.Clone(data)
		return nil
	})
}

// Get implements platform.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := o.withFaults(ctx, false, func() error {
		stored, ok := o.objects[name]
		if !ok {
			return fmt.Errorf("object %q: %w", name, platform.ErrNotFound)
		}
		data = bytes.Clone(stored)
		return nil
	})
	return data, err
}

// Delete implements platform.ObjectStore. Deleting an absent object succeeds.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.withFaults(ctx, true, func() error {
		delete(o.objects, name)
		return nil
	})
}

// List implements platform.ObjectStore.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := o.withFaults(ctx, false, func() error {
		for name := range o.objects {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return nil
	})
	return names, err
}

// Calls returns the number of operations that reached the store.
func (o *Objects) Calls() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// withFaults runs one operation under the faults in force.
func (o *Objects) withFaults(ctx context.Context, write bool, op func() error) error {
	failure := platform.ErrUnavailable
	c, up, err := o.beginCall(ctx)
	if err != nil {
		return fmt.Errorf("object stand-in: %w: %w", failure, err)
	}
	if !up || o.Faults.Get().FailEverything {
		return fmt.Errorf("object stand-in: %w", failure)
	}
	o.mu.Lock()
	o.calls++
	err = op()
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if write {
		failure = platform.ErrAmbiguous
	}
	if err := o.delayReply(ctx); err != nil {
		return fmt.Errorf("object stand-in: %w: %w", failure, err)
	}
	if c.loseReply {
		return fmt.Errorf("object stand-in: %w", failure)
	}
	return nil
}
