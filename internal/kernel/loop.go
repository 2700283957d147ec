package kernel

import (
	"context"
	"sync"
)

// Go runs the function in a goroutine. The returned Stop cancels its context and waits until it returns or the stop context ends.
func Go(run func(ctx context.Context)) Stop {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { run(ctx) })
	return func(stopCtx context.Context) error {
		cancel()
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		select {
		case <-done:
			return nil
		case <-stopCtx.Done():
			return stopCtx.Err()
		}
	}
}
